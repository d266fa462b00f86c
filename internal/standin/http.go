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

// Paths by which tests and operators read and control a stand-in process.
const (
	// PathFaults is that of the table on a platform; "/objects", "/vms",
	// "/ratings" and "/weights" after it name the other services.
	PathFaults = "/standin/faults"
	PathCalls  = "/standin/calls"
	PathRuns   = "/standin/runs"
	PathSetVMs = "/standin/vms"
)

const maxBodyBytes = 64 << 20

func readBody(r *http.Request, out any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeBackendError answers with a backend server's typed refusal; a broken
// attempt cuts the connection instead.
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

func faultsHandler(f *Faults) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var s FaultState
		if err := readBody(r, &s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(s)
	}
}

// EngineHandler serves an engine over HTTP.
func EngineHandler(e *Engine) http.Handler {
	r := chi.NewRouter()
	r.Post(backend.PathGenerate, func(w http.ResponseWriter, r *http.Request) { serveGenerate(e, w, r) })
	r.Get(backend.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		report, err := e.Load(r.Context())
		answer(w, report, err)
	})
	r.Get(backend.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		events, err := e.CacheEvents(r.Context(), after)
		answer(w, events, err)
	})
	r.Post(backend.PathOrders, func(w http.ResponseWriter, r *http.Request) {
		var o backend.Order
		if err := readBody(r, &o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer(w, struct{}{}, e.Order(r.Context(), o))
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
		answer(w, struct{}{}, err)
	})
	r.Post(PathFaults, faultsHandler(e.Faults))
	r.Get(PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	return r
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeBackendError(w, err)
		return
	}
	writeJSON(w, v)
}

func serveGenerate(e *Engine, w http.ResponseWriter, r *http.Request) {
	var req backend.GenerateRequest
	if err := readBody(r, &req); err != nil {
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
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		f, err := stream.Next()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		body, _ := json.Marshal(f)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return
		}
		_ = flush.Flush()
		if f.Final {
			return
		}
	}
}

// ServiceHandler serves a plain service over HTTP.
func ServiceHandler(s *Service) http.Handler {
	r := chi.NewRouter()
	r.Get(backend.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		report, err := s.Load(r.Context())
		answer(w, report, err)
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
	return r
}

// PlatformHandler serves a platform over HTTP.
func PlatformHandler(p *Platform) http.Handler {
	r := chi.NewRouter()
	r.Get(infra.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := p.Get(r.Context(), r.URL.Query().Get("key"))
		answerPlatform(w, row, err)
	})
	r.Get(infra.PathRows, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("limit"))
		rows, err := p.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		answerPlatform(w, rows, err)
	})
	r.Post(infra.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var req infra.CommitRequest
		if err := readBody(r, &req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		versions, err := p.Commit(r.Context(), req.Ops...)
		answerPlatform(w, infra.CommitReply{Versions: versions}, err)
	})
	r.Put(infra.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err == nil {
			err = p.PutObject(r.Context(), chi.URLParam(r, "name"), body)
		}
		answerPlatform(w, struct{}{}, err)
	})
	r.Get(infra.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		body, err := p.GetObject(r.Context(), chi.URLParam(r, "name"))
		if err != nil {
			answerPlatform(w, nil, err)
			return
		}
		_, _ = w.Write(body)
	})
	r.Get(infra.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.VMs(r.Context())
		answerPlatform(w, vms, err)
	})
	r.Post(infra.PathSubmit, func(w http.ResponseWriter, r *http.Request) {
		var samples []infra.Sample
		err := readBody(r, &samples)
		if err == nil {
			err = p.Submit(r.Context(), samples)
		}
		answerPlatform(w, struct{}{}, err)
	})
	r.Post(infra.PathPoll, func(w http.ResponseWriter, r *http.Request) {
		var ids []string
		_ = readBody(r, &ids)
		ratings, err := p.Poll(r.Context(), ids)
		answerPlatform(w, ratings, err)
	})
	r.Post(infra.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		wait, err := p.Acquire(r.Context(), r.URL.Query().Get("target"))
		answerPlatform(w, infra.WaitReply{WaitMilliseconds: wait.Milliseconds()}, err)
	})
	for part, f := range map[string]*Faults{
		"": p.Faults, "/objects": p.ObjectFaults, "/vms": p.VMFaults, "/ratings": p.RatingFaults, "/weights": p.WeightFaults,
	} {
		r.Post(PathFaults+part, faultsHandler(f))
	}
	r.Post(PathSetVMs, func(w http.ResponseWriter, r *http.Request) {
		var vms []infra.VM
		if err := readBody(r, &vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetVMs(vms)
	})
	return r
}

func answerPlatform(w http.ResponseWriter, v any, err error) {
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
