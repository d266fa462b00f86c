package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipfall/cowslipfall/internal/ledger"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// outcomeBody reports the state of a call that runs at most once.
type outcomeBody struct {
	Service string           `json:"service"`
	Key     string           `json:"key"`
	State   ledger.CallState `json:"state"`
	Ran     outcome.Ran      `json:"ran"`
	// Final is true if later requests will get the same state.
	Final bool       `json:"final"`
	Reply *replyBody `json:"reply,omitempty"`
}

// replyBody is the complete reply of a service. The body is encoded in base64.
type replyBody struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// ranByState maps the state of a call to whether the call ran.
var ranByState = map[ledger.CallState]outcome.Ran{
	ledger.CallNone:       outcome.RanNo,
	ledger.CallRunning:    outcome.RanMaybe,
	ledger.CallAnswered:   outcome.RanYes,
	ledger.CallMayHaveRun: outcome.RanMaybe,
}

// outcome serves the outcome of a call of the caller's own organisation.
func (g *Gateway) outcome(w http.ResponseWriter, r *http.Request) {
	const kind = "outcome"
	name, _, err := g.authenticate(r)
	if err != nil {
		g.refuse(w, kind, "", err)
		return
	}
	id := ledger.CallID{Organisation: name, Service: pathParam(r, "service"), Key: pathParam(r, "key")}
	s, err := g.Claims.Status(r.Context(), id)
	if err != nil {
		g.refuse(w, kind, "", err)
		return
	}
	answer := outcomeBody{Service: id.Service, Key: id.Key, State: s.State, Ran: ranByState[s.State], Final: s.Final}
	if s.Reply != nil {
		answer.Reply = &replyBody{Status: s.Reply.Status, ContentType: s.Reply.ContentType, Body: s.Reply.Body}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// pathParam returns a path parameter with percent-encoding decoded.
func pathParam(r *http.Request, name string) string {
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
