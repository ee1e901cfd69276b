package idempotency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/idempotency"
)

// TestTheFirstAnswerOfAKeyStays guards against a second answer for a key, which once ended
// the process.
func TestTheFirstAnswerOfAKeyStays(t *testing.T) {
	table := idempotency.New(4, time.Minute)
	result, _ := table.Begin("k", time.Unix(1000, 0))
	assert.Equal(t, result, idempotency.Added)
	table.Settle("k", request.Answer{Outcome: request.Done, Payload: []byte("first")})
	table.Settle("k", request.Answer{Outcome: request.Done, Payload: []byte("second")})
	answer, ok := table.Answer("k")
	assert.Assert(t, ok)
	assert.Equal(t, string(answer.Payload), "first")
}
