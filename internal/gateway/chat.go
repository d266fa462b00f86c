package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// Bounds of an answer's length in tokens.
const (
	defaultMaxTokens = 256
	mostTokens       = 8192
)

// chatBody is the part of the OpenAI chat format that the router reads; other
// fields are passed over.
type chatBody struct {
	Model               string       `json:"model"`
	Messages            []askMessage `json:"messages"`
	MaxTokens           int          `json:"max_tokens"`
	MaxCompletionTokens int          `json:"max_completion_tokens"`
	Stream              bool         `json:"stream"`
	N                   int          `json:"n"`
}

// askMessage is one message of a request.
type askMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text, given as a string, null or a list of parts.
type content string

// contentPart is one part of a message; the router takes text parts only.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(raw []byte) error {
	if raw[0] != '[' {
		return json.Unmarshal(raw, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Errorf("a content part has type %q, only \"text\" is taken", p.Type)
		}
		text.WriteString(p.Text)
	}
	*c = content(text.String())
	return nil
}

func parseChat(raw []byte) (*chatBody, error) {
	b := &chatBody{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "the body is not a chat request (%s): send JSON with model and messages", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "model or messages is missing: send both")
	}
	if b.N > 1 {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "n is %d: the router gives one answer, leave n out", b.N)
	}
	b.MaxTokens = cmp.Or(b.MaxTokens, b.MaxCompletionTokens, defaultMaxTokens)
	if b.MaxTokens < 0 || b.MaxTokens > mostTokens {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "max_tokens is %d: write 1 to %d", b.MaxTokens, mostTokens)
	}
	return b, nil
}

// prompt joins the messages into the engine's input.
func (b *chatBody) prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(cmp.Or(m.Role, "user") + ": " + string(m.Content) + "\n")
	}
	return text.String()
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) {
	req, rank, err := g.request(r)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	raw, err := body(w, r)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	parsed, err := parseChat(raw)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	ctx, span := g.span(r, "chat", req)
	ctx, gone := context.WithCancel(ctx)
	defer gone()
	text := parsed.prompt()
	req.Fingerprint = Fingerprint(req.Organisation, text)
	sink := &chatSink{w: w, id: req.ID, model: parsed.Model, stream: parsed.Stream, control: http.NewResponseController(w), gone: gone, start: time.Now(),
		first: func(d time.Duration) { g.Metrics.FirstToken.WithLabelValues(rank).Observe(d.Seconds()) }}
	defer sink.close()
	result, err := g.Dispatcher.Chat(ctx, &dispatch.ChatRequest{
		Request: *req, Asked: config.ParseTarget(parsed.Model), Prompt: text, MaxTokens: parsed.MaxTokens, Kind: r.Header.Get(HeaderKind), NonStreaming: !parsed.Stream,
	}, sink)
	span.End(err)
	g.Metrics.RequestTime.WithLabelValues("chat", rank).Observe(time.Since(sink.start).Seconds())
	if err != nil {
		g.chatFailed(w, rank, sink, err)
		return
	}
	g.Metrics.Requests.WithLabelValues("chat", rank, "served").Inc()
	g.Metrics.Tokens.WithLabelValues(result.Target.String()).Add(float64(result.Tokens))
	sink.finish(result)
}

// chatFailed refuses, or ends a begun stream with an error event.
func (g *Gateway) chatFailed(w http.ResponseWriter, rank string, sink *chatSink, err error) {
	if !sink.begun {
		g.refuse(w, "chat", rank, err)
		return
	}
	refusal := outcome.AsRefusal(err)
	g.Metrics.Requests.WithLabelValues("chat", rank, string(refusal.Code)).Inc()
	sink.event(detail(refusal))
}
