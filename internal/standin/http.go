package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Paths at which tests and operators read and control a stand-in process.
const (
	// PathFaults sets a stand-in's faults. On a platform it sets those of the
	// table; the suffixes "/objects", "/vms", "/ratings" and "/weights" select
	// the other services.
	PathFaults = "/standin/faults"
	PathCalls  = "/standin/calls"
	PathRuns   = "/standin/runs"
	PathSetVMs = "/standin/vms"
)

const maxBodyBytes = 64 << 20

// decodeBody decodes a JSON body of at most maxBodyBytes.
func decodeBody(r *http.Request, out any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeBackendError writes a typed error as a backend server's error response.
// For a broken or unreachable server it aborts the connection instead.
func writeBackendError(w http.ResponseWriter, err error) {
	var typed *backend.Error
	if !errors.As(err, &typed) {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if typed.Kind == backend.KindBroken || typed.Kind == backend.KindConnect {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(backend.HeaderErrorKind, string(typed.Kind))
	http.Error(w, typed.Message, http.StatusServiceUnavailable)
}

// faultsHandler returns a handler that sets f to the state in the body.
func faultsHandler(f *Faults) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var state FaultState
		if err := decodeBody(r, &state); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(state)
	}
}

// EngineHandler returns the HTTP interface of an engine.
func EngineHandler(e *Engine) http.Handler {
	r := chi.NewRouter()
	r.Post(backend.PathGenerate, func(w http.ResponseWriter, r *http.Request) { serveGenerate(e, w, r) })
	r.Get(backend.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		report, err := e.Load(r.Context())
		writeResult(w, report, err)
	})
	r.Get(backend.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		events, err := e.CacheEvents(r.Context(), after)
		writeResult(w, events, err)
	})
	r.Post(backend.PathOrders, func(w http.ResponseWriter, r *http.Request) {
		var order backend.Order
		if err := decodeBody(r, &order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResult(w, struct{}{}, e.Order(r.Context(), order))
	})
	r.Get(backend.PathKV+"{attempt}", func(w http.ResponseWriter, r *http.Request) {
		kv, err := e.ExportKV(r.Context(), chi.URLParam(r, "attempt"))
		if err != nil {
			writeBackendError(w, err)
			return
		}
		_, _ = w.Write(kv)
	})
	r.Put(backend.PathKV+"{attempt}", func(w http.ResponseWriter, r *http.Request) {
		kv, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err == nil {
			err = e.ImportKV(r.Context(), chi.URLParam(r, "attempt"), kv)
		}
		writeResult(w, struct{}{}, err)
	})
	r.Post(PathFaults, faultsHandler(e.Faults))
	r.Get(PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	return echoAttempt(e.Limit.handler(r))
}

// echoAttempt makes each answer identify its call.
func echoAttempt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(backend.HeaderAttempt); id != "" {
			w.Header().Set(backend.HeaderAttempt, id)
		}
		next.ServeHTTP(w, r)
	})
}

// writeResult writes v as JSON, or err if it is not nil.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeBackendError(w, err)
		return
	}
	writeJSON(w, v)
}

// serveGenerate streams an answer as server-sent events. It aborts the
// connection if the stream breaks.
func serveGenerate(e *Engine, w http.ResponseWriter, r *http.Request) {
	var req backend.GenerateRequest
	if err := decodeBody(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stream, err := e.Generate(r.Context(), req)
	if err != nil {
		writeBackendError(w, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		frame, err := stream.Next()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		body, _ := json.Marshal(frame)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return
		}
		_ = controller.Flush()
		if frame.Final {
			return
		}
	}
}

// ServiceHandler returns the HTTP interface of a plain service.
func ServiceHandler(s *Service) http.Handler {
	r := chi.NewRouter()
	r.Get(backend.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		report, err := s.Load(r.Context())
		writeResult(w, report, err)
	})
	r.Post(PathFaults, faultsHandler(s.Faults))
	r.Get(PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		fencing, _ := strconv.ParseUint(r.Header.Get(backend.HeaderFencing), 10, 64)
		reply, err := s.Do(r.Context(), backend.Call{
			Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: body,
			Key: r.Header.Get(backend.HeaderIdempotencyKey), Fencing: fencing,
		})
		if err != nil {
			writeBackendError(w, err)
			return
		}
		w.Header().Set("Content-Type", reply.ContentType)
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body)
	})
	return echoAttempt(s.Limit.handler(r))
}

// PlatformHandler returns the HTTP interface of a platform.
func PlatformHandler(p *Platform) http.Handler {
	r := chi.NewRouter()
	r.Get(infra.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := p.Get(r.Context(), r.URL.Query().Get("key"))
		writePlatformResult(w, row, err)
	})
	r.Get(infra.PathRows, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("limit"))
		rows, err := p.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		writePlatformResult(w, rows, err)
	})
	r.Post(infra.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var req infra.CommitRequest
		if err := decodeBody(r, &req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		versions, err := p.Commit(r.Context(), req.Ops...)
		writePlatformResult(w, infra.CommitReply{Versions: versions}, err)
	})
	r.Put(infra.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err == nil {
			err = p.PutObject(r.Context(), chi.URLParam(r, "name"), body)
		}
		writePlatformResult(w, struct{}{}, err)
	})
	r.Get(infra.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		body, err := p.GetObject(r.Context(), chi.URLParam(r, "name"))
		if err != nil {
			writePlatformResult(w, nil, err)
			return
		}
		_, _ = w.Write(body)
	})
	r.Get(infra.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.VMs(r.Context())
		writePlatformResult(w, vms, err)
	})
	r.Post(infra.PathSubmit, func(w http.ResponseWriter, r *http.Request) {
		var samples []infra.Sample
		err := decodeBody(r, &samples)
		if err == nil {
			err = p.Submit(r.Context(), samples)
		}
		writePlatformResult(w, struct{}{}, err)
	})
	r.Post(infra.PathPoll, func(w http.ResponseWriter, r *http.Request) {
		var ids []string
		_ = decodeBody(r, &ids)
		ratings, err := p.Poll(r.Context(), ids)
		writePlatformResult(w, ratings, err)
	})
	r.Post(infra.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		wait, err := p.Acquire(r.Context(), r.URL.Query().Get("target"))
		writePlatformResult(w, infra.WaitReply{WaitMilliseconds: wait.Milliseconds()}, err)
	})
	for suffix, faults := range map[string]*Faults{
		"": p.Faults, "/objects": p.ObjectFaults, "/vms": p.VMFaults, "/ratings": p.RatingFaults, "/weights": p.WeightFaults,
	} {
		r.Post(PathFaults+suffix, faultsHandler(faults))
	}
	r.Post(PathSetVMs, func(w http.ResponseWriter, r *http.Request) {
		var vms []infra.VM
		if err := decodeBody(r, &vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetVMs(vms)
	})
	return r
}

// writePlatformResult writes v as JSON, or an error response for err. If the
// service is unavailable, it aborts the connection instead.
func writePlatformResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, infra.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, infra.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		panic(http.ErrAbortHandler)
	}
}
