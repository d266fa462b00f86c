package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// chatBody is the part of the OpenAI chat format that the router reads.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a whole answer or, with Delta, a piece of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func parseChat(raw []byte) (*chatBody, error) {
	b := &chatBody{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "the body is not a chat request (%s): send JSON with model and messages", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "model or messages is missing: send both")
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	if b.MaxTokens < 0 || b.MaxTokens > mostTokens {
		return nil, outcome.Refuse(outcome.CodeBadRequest, 0, "max_tokens is %d: write 1 to %d", b.MaxTokens, mostTokens)
	}
	return b, nil
}

// prompt joins the messages into the engine's input.
func (b *chatBody) prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) {
	req, rank, err := g.request(r)
	if err != nil {
		g.refuse(w, "chat", rank, err)
		return
	}
	raw, err := body(r)
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
	defer span.End()
	text := parsed.prompt()
	req.Fingerprint = Fingerprint(req.Organisation, text)
	w.Header().Set(HeaderRequestID, req.ID)
	sink := &chatSink{w: w, id: req.ID, model: parsed.Model, stream: parsed.Stream, flush: http.NewResponseController(w), start: time.Now(),
		first: func(d time.Duration) { g.Metrics.FirstToken.WithLabelValues(rank).Observe(d.Seconds()) }}
	result, err := g.Dispatcher.Chat(ctx, &dispatch.ChatRequest{
		Request: *req, Asked: config.ParseTarget(parsed.Model), Prompt: text, MaxTokens: parsed.MaxTokens, Kind: r.Header.Get(HeaderKind), Whole: !parsed.Stream,
	}, sink)
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

// chatSink writes an answer in the OpenAI format, whole or streamed.
type chatSink struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	id     string
	model  string
	stream bool
	begun  bool
	seen   bool
	start  time.Time
	first  func(time.Duration)
	text   strings.Builder
}

// Token implements dispatch.Sink.
func (s *chatSink) Token(text string) error {
	if !s.seen {
		s.seen = true
		s.first(time.Since(s.start))
	}
	if !s.stream {
		s.text.WriteString(text)
		return nil
	}
	return s.event(s.completion("chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: text}}))
}

func (s *chatSink) completion(object string, c choice) completion {
	return completion{ID: s.id, Object: object, Created: s.start.Unix(), Model: s.model, Choices: []choice{c}}
}

// event writes one server-sent event.
func (s *chatSink) event(v any) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write("data: " + string(raw) + "\n\n")
}

func (s *chatSink) write(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return errCallerGone
	}
	return s.flush.Flush()
}

// finish ends the answer.
func (s *chatSink) finish(result *dispatch.ChatResult) {
	reason := result.FinishReason
	u := &usage{PromptTokens: result.PromptTokens, CompletionTokens: result.Tokens, TotalTokens: result.PromptTokens + result.Tokens}
	if s.stream {
		last := s.completion("chat.completion.chunk", choice{Delta: &message{}, FinishReason: &reason})
		last.Model = result.Target.String()
		last.Usage = u
		if s.event(last) == nil {
			_ = s.write("data: [DONE]\n\n")
		}
		return
	}
	whole := s.completion("chat.completion", choice{Message: &message{Role: "assistant", Content: s.text.String()}, FinishReason: &reason})
	whole.Model = result.Target.String()
	whole.Usage = u
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderVersion, result.Target.String())
	_ = json.NewEncoder(s.w).Encode(whole)
}
