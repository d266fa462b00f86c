package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// Bounds of the answer length in tokens.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 8192
)

// chatBody is the part of an OpenAI chat request that the router reads. Other
// fields are ignored.
type chatBody struct {
	Model               string           `json:"model"`
	Messages            []requestMessage `json:"messages"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	N                   int              `json:"n"`
}

// requestMessage is one message of a request.
type requestMessage struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is the text of a message, given as a string, null or a list of
// parts.
type messageContent string

// contentPart is one part of a message. The router accepts text parts only.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *messageContent) UnmarshalJSON(raw []byte) error {
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
	*c = messageContent(text.String())
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
	if b.MaxTokens < 0 || b.MaxTokens > maxTokensLimit {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "max_tokens is %d: write 1 to %d", b.MaxTokens, maxTokensLimit)
	}
	return b, nil
}

// prompt joins the messages into the input of the model engine.
func (b *chatBody) prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(cmp.Or(m.Role, "user") + ": " + string(m.Content) + "\n")
	}
	return text.String()
}

// sharedParts returns the messages before the last one, which other requests may repeat.
func (b *chatBody) sharedParts() []dispatch.Part {
	var parts []dispatch.Part
	for _, m := range b.Messages[:len(b.Messages)-1] {
		id := strconv.FormatUint(Fingerprint(cmp.Or(m.Role, "user"), string(m.Content)), 16)
		parts = append(parts, dispatch.NewPart(id))
	}
	return parts
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) {
	req, rank, err := g.parseRequest(r)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	raw, err := readBody(w, r)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	parsed, err := parseChat(raw)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	ctx, span := g.startSpan(r, "chat", req)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	prompt := parsed.prompt()
	req.Fingerprint = Fingerprint(req.Organisation, prompt)
	req.Parts = parsed.sharedParts()
	sink := &chatSink{w: w, id: req.ID, model: parsed.Model, stream: parsed.Stream, control: http.NewResponseController(w), cancel: cancel, start: time.Now(),
		observeFirstToken: func(d time.Duration) { g.Metrics.FirstToken.WithLabelValues(rank).Observe(d.Seconds()) }}
	defer sink.close()
	result, err := g.Dispatcher.Chat(ctx, &dispatch.ChatRequest{
		Request: *req, Asked: config.ParseTarget(parsed.Model), Prompt: prompt, MaxTokens: parsed.MaxTokens, Kind: r.Header.Get(HeaderKind), NonStreaming: !parsed.Stream,
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

// chatFailed refuses the request, or ends a stream that has begun with an error
// event.
func (g *Gateway) chatFailed(w http.ResponseWriter, rank string, sink *chatSink, err error) {
	if !sink.hasBegun {
		g.refuse(w, "chat", rank, err)
		return
	}
	refusal := outcome.AsRefusal(err)
	g.Metrics.Requests.WithLabelValues("chat", rank, string(refusal.Code)).Inc()
	sink.event(newErrorBody(refusal))
}
