package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
)

// writeTimeout is how long a caller may take to read one piece of its answer
// before the router takes it for gone.
const writeTimeout = 30 * time.Second

var errCallerGone = errors.New("the caller has gone")

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

// chatSink writes an answer in the OpenAI format, whole or streamed. It calls
// gone when the caller no longer reads.
type chatSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	gone    func()
	id      string
	model   string
	stream  bool
	begun   bool
	seen    bool
	start   time.Time
	first   func(time.Duration)
	text    strings.Builder
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

// write sends text at once. A caller that does not read it in time has gone:
// its request is given up.
func (s *chatSink) write(text string) error {
	s.limit()
	_, err := s.w.Write([]byte(text))
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		s.gone()
		return errCallerGone
	}
	return nil
}

// limit bounds the next write. A connection that cannot bound its writes is
// served without.
func (s *chatSink) limit() { _ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout)) }

// close lifts the bound for later answers on the same connection.
func (s *chatSink) close() { _ = s.control.SetWriteDeadline(time.Time{}) }

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
	s.w.Header().Set(HeaderVersion, result.Target.String())
	s.limit()
	writeJSON(s.w, whole)
}
