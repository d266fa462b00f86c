// Package backend defines how the router speaks to backend servers, model
// engines and plain services, and holds the HTTP clients for them.
package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// GenerateRequest asks an engine for an answer.
type GenerateRequest struct {
	// Attempt identifies this try; frames carry it back.
	Attempt string `json:"attempt"`
	// Target is the version to run.
	Target config.Target `json:"target"`
	// Prompt is the whole input text.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority orders work inside the engine; 0 is the most urgent.
	Priority int `json:"priority"`
	// Offset is the number of tokens that the caller already has; the engine
	// goes on from there.
	Offset int `json:"offset"`
	// Seed makes two runs of the same prompt give the same answer.
	Seed uint64 `json:"seed"`
}

// Frame is one piece of an answer.
type Frame struct {
	// Attempt is the try that the frame belongs to.
	Attempt string `json:"attempt"`
	// Offset is the index of the frame's token within the whole answer.
	Offset int `json:"offset"`
	// Text is the token's text.
	Text string `json:"text,omitempty"`
	// Final marks the end of the answer; it carries no text.
	Final bool `json:"final,omitempty"`
	// FinishReason tells why the answer ended, on the final frame.
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens and CachedTokens count the input, on the final frame.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Stream is a running answer.
type Stream interface {
	// Next returns the next frame as it came, perhaps out of order, or
	// *Error on failure and once the stream has ended.
	Next() (Frame, error)
	// Close cancels the answer if it still runs.
	Close() error
}

// LoadReport is an engine's own account of its load. It lags.
type LoadReport struct {
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVTokens is the number of tokens held in the KV cache.
	KVTokens int `json:"kv_tokens"`
	// TokenIntervalMicros is the present time between tokens.
	TokenIntervalMicros int64 `json:"token_interval_us"`
	// Targets are the versions loaded.
	Targets []config.Target `json:"targets"`
	// Draining tells that the engine takes no new work.
	Draining bool `json:"draining"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation; gaps occur.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt's block chain.
	Prefix uint64 `json:"prefix"`
	// Stored is true when the prefix entered, false when it left.
	Stored bool `json:"stored"`
}

// OrderKind names what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what an engine serves.
type Order struct {
	// Kind tells what to do.
	Kind OrderKind `json:"kind"`
	// Target is the version to load or unload.
	Target config.Target `json:"target"`
	// Role is the new role: "prefill", "decode" or "both".
	Role string `json:"role,omitempty"`
	// Fencing is the lease's number; some engines refuse an old one.
	Fencing uint64 `json:"fencing"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts an answer. It returns *Error if none was started.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Load returns the engine's load.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order carries out an order.
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of a running or paused attempt.
	ExportKV(ctx context.Context, attempt string) ([]byte, error)
	// ImportKV loads an exported KV cache for a later attempt.
	ImportKV(ctx context.Context, attempt string, kv []byte) error
}

// Call is one call of a plain service.
type Call struct {
	// Method, Path and Query are those of the caller.
	Method string
	Path   string
	Query  string
	// Body is the caller's body, ContentType its type.
	Body        []byte
	ContentType string
	// Key is the idempotency key, empty for a repeatable call.
	Key string
	// Fencing is the claim's number, for services that check it.
	Fencing uint64
	// Once tells that the call may not be repeated: it goes out on a
	// connection of its own, so that no kept-open connection can die under it.
	Once bool
}

// Reply is a plain service's whole answer.
type Reply struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType and Body are the content.
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Service is one replica of a plain service.
type Service interface {
	// Do carries out the call once. It returns *Error if there is no whole
	// answer.
	Do(ctx context.Context, call Call) (Reply, error)
	// Load returns the replica's load.
	Load(ctx context.Context) (LoadReport, error)
}

// Kind names what went wrong at a backend server; the kind decides whether
// the attempt may be tried elsewhere.
type Kind string

// The kinds of failure.
const (
	// KindConnect means that no connection was made: nothing was sent.
	KindConnect Kind = "connect"
	// KindBroken means that the connection broke or timed out after the
	// request may have left.
	KindBroken Kind = "broken"
	// KindBusy means that the backend server refused for lack of room.
	KindBusy Kind = "busy"
	// KindDraining means that the backend server takes no new work.
	KindDraining Kind = "draining"
	// KindNotLoaded means that the version is not loaded there.
	KindNotLoaded Kind = "not_loaded"
	// KindFenced means that the order or call carried an old number.
	KindFenced Kind = "fenced"
	// KindRejected means that the request itself is at fault.
	KindRejected Kind = "rejected"
)

// Error is a failure at a backend server.
type Error struct {
	// Kind names the failure.
	Kind Kind
	// Ran tells whether the backend server may have run the request.
	Ran outcome.Ran
	// Message tells what happened.
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("backend server: %s: %s", e.Kind, e.Message) }

// Retryable tells whether another backend server may succeed.
func (e *Error) Retryable() bool { return e.Kind != KindRejected && e.Kind != KindFenced }

// Dialer opens clients of backend servers by address.
type Dialer interface {
	// Engine returns a client of the engine at address.
	Engine(address string) Engine
	// Service returns a client of the plain service at address.
	Service(address string) Service
}

// ProbeTimeout bounds a load report or cache event call.
const ProbeTimeout = 2 * time.Second
