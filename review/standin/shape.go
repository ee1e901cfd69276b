package main

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// The shapes that two clients prepare. firstShape and collidingShape have the same 64-bit
// xxHash; otherShape has another one.
const (
	firstShape     = "q2c4order7insert"
	collidingShape = "fj9clv8bay362v4i"
	otherShape     = "fj9clv8bay362v4j"
)

// sameHash has two clients prepare and execute shapes of their own, and compares the shape
// that a member has prepared with that of the client.
func sameHash(ctx context.Context, r *run) (bool, error) {
	tap := &wiretap{run: r, shapes: map[string]string{}}
	plan := testbed.DefaultPlan()
	plan.AdvertisedAddress = func(_, address string) (string, error) { return tap.relay(address) }
	bed, err := testbed.New(r.tasks, plan)
	if err != nil {
		return false, err
	}
	r.bed = bed
	proxies, err := r.startProxies(ctx, 2)
	defer stopProxies(proxies)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	second := otherShape
	if r.trouble {
		second = collidingShape
	}
	expected := map[string]string{}
	for _, shape := range []string{firstShape, second} {
		id, err := r.execute(proxies[0], shape)
		if err != nil {
			return false, err
		}
		expected[id] = shape
	}
	return tap.otherShapes(expected), nil
}

// execute prepares a shape in a session of its own, executes it, and returns the identifier
// of the execution.
func (r *run) execute(p *proxy, shape string) (string, error) {
	c, err := testbed.Dial(p.settings.Callers, "primary-0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	id := ""
	for _, text := range []string{"PREPARE s1 WRITE " + shape, "EXECUTE s1 item-1 data"} {
		answer, err := c.Do(text)
		r.record.add("client: %s %s: code %q, signature %s, error %v", answer.ID, text, answer.Code, answer.Signature, err)
		if err != nil {
			return "", err
		}
		if !answer.OK() {
			return "", errors.Errorf("%s was refused: %s", text, answer.Code)
		}
		id = answer.ID
	}
	return id, nil
}

// otherShapes reports whether a member ran another shape than the client had prepared.
func (w *wiretap) otherShapes(expected map[string]string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := false
	for id, shape := range expected {
		if w.shapes[id] != shape {
			found = true
			w.run.record.add("%s: the client prepared %q, the member ran %q", id, shape, w.shapes[id])
		}
	}
	return found
}
