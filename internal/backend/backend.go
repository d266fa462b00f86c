// Package backend defines the client interfaces, messages and errors for
// backend servers (model engines and plain services), and implements HTTP
// clients for them.
package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// GenerateRequest is a request for one answer of an engine.
type GenerateRequest struct {
	// Attempt identifies this attempt; the answer's frames repeat it.
	Attempt string `json:"attempt"`
	// Target is the version to run.
	Target config.Target `json:"target"`
	// Prompt is the whole input text.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority orders work inside the engine; 0 is the most urgent.
	Priority int `json:"priority"`
	// Offset is the number of tokens that the caller already has; generation
	// continues after them.
	Offset int `json:"offset"`
	// Seed makes generation deterministic: the same prompt and seed give the
	// same answer.
	Seed uint64 `json:"seed"`
}

// Frame is one piece of an answer.
type Frame struct {
	// Attempt identifies the attempt that the frame belongs to.
	Attempt string `json:"attempt"`
	// Offset is the index of the frame's token within the whole answer.
	Offset int `json:"offset"`
	// Text is the token's text.
	Text string `json:"text,omitempty"`
	// Final marks the end of the answer; it carries no text.
	Final bool `json:"final,omitempty"`
	// FinishReason says why the answer ended; set on the final frame.
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens and CachedTokens count all input tokens and those found in
	// the KV cache; set on the final frame.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Stream is an answer in progress.
type Stream interface {
	// Next returns the next frame in order of arrival, which may differ from
	// the order of offsets. It returns *Error on failure and at the end of the
	// stream.
	Next() (Frame, error)
	// Close cancels the answer if it is still in progress.
	Close() error
}

// LoadReport is the load that a backend server reports of itself. It lags
// behind the real load.
type LoadReport struct {
	// Running and Waiting are numbers of streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVTokens is the number of tokens held in the KV cache.
	KVTokens int `json:"kv_tokens"`
	// TokenIntervalMicros is the current time between tokens, in microseconds.
	TokenIntervalMicros int64 `json:"token_interval_us"`
	// Targets are the loaded versions.
	Targets []config.Target `json:"targets"`
	// Draining is true while the engine accepts no new work.
	Draining bool `json:"draining"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Limit is the number of requests per second that the server takes from all
	// nodes together, or nil if it names none. LimitError describes a malformed
	// limit. Both come from the header of the answer.
	Limit      *float64 `json:"-"`
	LimitError error    `json:"-"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation; gaps occur.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt's block chain.
	Prefix uint64 `json:"prefix"`
	// Stored is true when the prefix entered, false when it left.
	Stored bool `json:"stored"`
}

// OrderKind is the kind of change that an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what an engine serves.
type Order struct {
	// Kind is the kind of change.
	Kind OrderKind `json:"kind"`
	// Target is the version to load or unload.
	Target config.Target `json:"target"`
	// Role is the new role: "prefill", "decode" or "both".
	Role string `json:"role,omitempty"`
	// Fencing is the fencing number of the sender's lease; some engines refuse
	// an outdated one.
	Fencing uint64 `json:"fencing"`
}

// Engine is a client of a model engine.
type Engine interface {
	// Generate starts an answer. It returns *Error if none was started.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Load returns the engine's load.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order makes the engine carry out an order.
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of a running or paused attempt.
	ExportKV(ctx context.Context, attempt string) ([]byte, error)
	// ImportKV loads an exported KV cache for a later attempt.
	ImportKV(ctx context.Context, attempt string, kv []byte) error
}

// Call is one call to a plain service.
type Call struct {
	// Method, Path and Query are those of the caller's request.
	Method string
	Path   string
	Query  string
	// Body is the caller's request body, ContentType its media type.
	Body        []byte
	ContentType string
	// Key is the idempotency key, empty for a repeatable call.
	Key string
	// Fencing is the claim's fencing number, for services that check it.
	Fencing uint64
	// IsOnceCall is true for a call that must not be repeated. It uses a new
	// connection of its own, since the server may close a reused one just as
	// the call is sent.
	IsOnceCall bool
}

// Reply is the complete answer of a plain service.
type Reply struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType and Body are the content.
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Service is a client of one replica of a plain service.
type Service interface {
	// Do sends the call once. It returns *Error if no complete answer
	// arrived.
	Do(ctx context.Context, call Call) (Reply, error)
	// Load returns the replica's load.
	Load(ctx context.Context) (LoadReport, error)
}

// Kind classifies a failure at a backend server. It determines whether another
// backend server may be tried.
type Kind string

// The kinds of failure.
const (
	// KindConnect means that no connection was established: nothing was sent.
	KindConnect Kind = "connect"
	// KindBroken means that the connection broke or timed out after the
	// request may have been sent.
	KindBroken Kind = "broken"
	// KindBusy means that the backend server refused for lack of capacity.
	KindBusy Kind = "busy"
	// KindDraining means that the backend server accepts no new work.
	KindDraining Kind = "draining"
	// KindNotLoaded means that the version is not loaded on the backend server.
	KindNotLoaded Kind = "not_loaded"
	// KindFenced means that the order or call carried an outdated fencing
	// number.
	KindFenced Kind = "fenced"
	// KindRejected means that the request itself is invalid.
	KindRejected Kind = "rejected"
)

// Error is a failure at a backend server.
type Error struct {
	// Kind classifies the failure.
	Kind Kind
	// Ran states whether the backend server ran or may have run the request.
	Ran outcome.Ran
	// Message describes the failure.
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("backend server: %s: %s", e.Kind, e.Message) }

// Retryable reports whether the request may succeed on another backend server.
func (e *Error) Retryable() bool { return e.Kind != KindRejected && e.Kind != KindFenced }

// Dialer returns clients of backend servers by address.
type Dialer interface {
	// Engine returns a client of the engine at address.
	Engine(address string) Engine
	// Service returns a client of the plain service at address.
	Service(address string) Service
}

// ProbeTimeout bounds every call to an engine or service other than Generate
// and Do, such as load reports and cache events.
const ProbeTimeout = 2 * time.Second
