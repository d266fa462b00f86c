package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// outcomeBody tells how far a call that runs at most once has come.
type outcomeBody struct {
	Service string           `json:"service"`
	Key     string           `json:"key"`
	State   ledger.CallState `json:"state"`
	Ran     outcome.Ran      `json:"ran"`
	// Final tells that asking again gives the same.
	Final bool       `json:"final"`
	Reply *replyBody `json:"reply,omitempty"`
}

// replyBody is a service's whole answer; the body is in base64.
type replyBody struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// ranOf gives the answer to "did it run?" of each state.
var ranOf = map[ledger.CallState]outcome.Ran{
	ledger.CallNone:       outcome.RanNo,
	ledger.CallRunning:    outcome.RanMaybe,
	ledger.CallAnswered:   outcome.RanYes,
	ledger.CallMayHaveRun: outcome.RanMaybe,
}

// outcome answers how a call of the caller's own organisation ended.
func (g *Gateway) outcome(w http.ResponseWriter, r *http.Request) {
	const kind = "outcome"
	name, _, err := g.organisation(r)
	if err != nil {
		g.refuse(w, kind, "", err)
		return
	}
	id := ledger.CallID{Organisation: name, Service: pathPart(r, "service"), Key: pathPart(r, "key")}
	s, err := g.Claims.Status(r.Context(), id)
	if err != nil {
		g.refuse(w, kind, "", err)
		return
	}
	answer := outcomeBody{Service: id.Service, Key: id.Key, State: s.State, Ran: ranOf[s.State], Final: s.Final}
	if s.Reply != nil {
		answer.Reply = &replyBody{Status: s.Reply.Status, ContentType: s.Reply.ContentType, Body: s.Reply.Body}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// pathPart returns one segment of the path as the caller meant it.
func pathPart(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw
	}
	part, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return part
}
