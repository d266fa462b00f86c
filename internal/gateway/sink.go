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
// before its request is cancelled.
const writeTimeout = 30 * time.Second

var errCallerGone = errors.New("the caller has gone")

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a complete answer or, if Delta is set, a piece of a streamed
// one.
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

// chatSink writes an answer in the OpenAI format, complete or streamed. It
// calls cancel when the caller stops reading.
type chatSink struct {
	w                 http.ResponseWriter
	control           *http.ResponseController
	cancel            func()
	id                string
	model             string
	stream            bool
	hasBegun          bool
	hasToken          bool
	start             time.Time
	observeFirstToken func(time.Duration)
	text              strings.Builder
}

// Token implements dispatch.Sink.
func (s *chatSink) Token(text string) error {
	if !s.hasToken {
		s.hasToken = true
		s.observeFirstToken(time.Since(s.start))
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
	if !s.hasBegun {
		s.hasBegun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write("data: " + string(raw) + "\n\n")
}

// write sends text without buffering. If the caller does not read it in time,
// the request is cancelled.
func (s *chatSink) write(text string) error {
	s.extendWriteDeadline()
	_, err := s.w.Write([]byte(text))
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		s.cancel()
		return errCallerGone
	}
	return nil
}

// extendWriteDeadline limits the time of the next write. Connections without
// support for write deadlines are served without one.
func (s *chatSink) extendWriteDeadline() {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// close removes the write deadline, so that later responses on the same
// connection are not affected.
func (s *chatSink) close() { _ = s.control.SetWriteDeadline(time.Time{}) }

// finish writes the end of the answer.
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
	s.extendWriteDeadline()
	writeJSON(s.w, whole)
}
