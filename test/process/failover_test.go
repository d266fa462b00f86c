package process

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const (
	chatPath    = "/v1/chat/completions"
	confirmPath = "/v1/services/kirjauspalvelu/confirmations"
	chatBody    = `{"model":"auto","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"When does the bus leave?"}]}`
)

// Guards against state that is lost with a node: after the entry node of a caller
// is killed, another node serves the caller and answers a repeated confirmation
// with the stored outcome.
func TestAnotherNodeServesAfterAKill(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 2, 2)
	chat := send(f.nodes[0], chatPath, chatBody, nil)
	is.NoErr(chat.err)
	is.Equal(chat.status, http.StatusOK)
	is.True(strings.HasSuffix(chat.body, "data: [DONE]\n\n")) // the stream is complete
	key := map[string]string{"Idempotency-Key": "seat-1"}
	first := send(f.nodes[0], confirmPath, `{"seat":1}`, key)
	is.NoErr(first.err)
	is.Equal(first.status, http.StatusOK)

	f.nodes[0].signal(t, syscall.SIGKILL)
	<-f.nodes[0].exited

	var again answer
	eventually(t, "another node serves the chat", func() bool {
		again = send(f.nodes[1], chatPath, chatBody, nil)
		return again.status == http.StatusOK
	})
	is.True(strings.HasSuffix(again.body, "data: [DONE]\n\n"))
	repeat := send(f.nodes[1], confirmPath, `{"seat":1}`, key)
	is.NoErr(repeat.err)
	is.Equal(repeat.status, http.StatusOK)
	is.Equal(repeat.body, first.body) // the stored outcome
	is.Equal(f.executionCounts(t)["seat-1"], 1)
}
