package cluster_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/http/operator/client"
	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
)

// spreadLimit is the time within which all of five proxies must have an accepted
// configuration.
const spreadLimit = 2 * time.Second

// leavingLimit is the time after which a leaving endpoint must get no new work.
const leavingLimit = 3 * time.Second

// operatorClient returns a client for the operators' interface of a proxy.
func operatorClient(p *cluster.Proxy) *generated.Client {
	httpClient := client.NewClient("http", p.Service.Addresses().Operator, http.DefaultClient,
		goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return generated.NewClient(httpClient.Configuration(), httpClient.History(), httpClient.Configure(), httpClient.Groups(), httpClient.Burn())
}

// configure proposes Magnolia's configuration as the successor of version basedOn, with
// a change ID.
func configure(p *cluster.Proxy, basedOn uint64, changeID string) (*generated.ConfigurationVersion, error) {
	token := cluster.OperatorToken
	return operatorClient(p).Configure(context.Background(), &generated.ConfigurePayload{
		Token: &token, Based: basedOn, Text: workload.Magnolia().Configuration, ChangeID: changeID,
	})
}

// awaitVersion waits until all running proxies have the version or a newer one, and
// fails the test after spreadLimit.
func awaitVersion(t *testing.T, cl *cluster.Cluster, version uint64) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < spreadLimit {
		outdated := 0
		for _, p := range cl.Proxies {
			if p != nil && p.Service.ConfigurationVersion() < version {
				outdated++
			}
		}
		if outdated == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not every proxy has configuration version %d after %v", version, spreadLimit)
}

func TestOneOfSeveralConcurrentConfigurationsIsAcceptedAndSpreadsWithoutTheStore(t *testing.T) {
	cl := start(t, group.Conditions{})
	accepted := make([]*generated.ConfigurationVersion, 5)
	race := task.New(context.Background())
	for i, p := range cl.Proxies {
		race.Go("operator", func(context.Context) error {
			v, err := configure(p, 1, fmt.Sprintf("racer-%d", i))
			var conflict generated.Conflict
			if err != nil && !errors.As(err, &conflict) {
				return err
			}
			accepted[i] = v
			return nil
		})
	}
	assert.NilError(t, race.Wait())
	winners := 0
	for _, v := range accepted {
		if v != nil {
			winners++
			assert.Equal(t, v.Version, uint64(2))
		}
	}
	assert.Equal(t, winners, 1)
	awaitVersion(t, cl, 2)

	cl.Store.SetConditions(cl.Store.Conditions().WithLoseAnswers(true))
	v, err := configure(cl.Proxies[0], 2, "answer lost")
	assert.NilError(t, err)
	assert.Equal(t, v.Version, uint64(3))
	// The accepted version spreads from proxy to proxy although the store is down.
	cl.Store.SetConditions(cl.Store.Conditions().WithLoseAnswers(false).WithDown(true))
	awaitVersion(t, cl, 3)
	_, err = configure(cl.Proxies[1], 3, "store down")
	assert.Assert(t, err != nil)

	// A proxy that starts while the store is down gets the configuration from the
	// others.
	assert.Assert(t, cl.Kill(4))
	assert.NilError(t, cl.StartProxy(4))
	awaitVersion(t, cl, 3)
	assert.NilError(t, cl.AwaitServed(context.Background()))
	c, err := pgx.Connect(context.Background(), url(cl.Proxies[4].Service.Addresses().Postgres, "deposits"))
	assert.NilError(t, err)
	_, err = c.Exec(context.Background(), "CREATE TABLE orders (id bigserial, pet text)")
	assert.NilError(t, err)
}

func TestACallerCancelsItsRequest(t *testing.T) {
	cl := start(t, group.Conditions{ServiceTime: time.Second})
	for _, address := range cl.Addresses() {
		c, err := pgx.Connect(context.Background(), url(address, "deposits"))
		assert.NilError(t, err)
		done := make(chan error, 1)
		g := task.New(context.Background())
		g.GoIsolated("query", func(ctx context.Context) {
			_, err := c.Exec(ctx, "SELECT pg_sleep(20)")
			done <- err
		})
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, c.PgConn().CancelRequest(context.Background()))
		select {
		case err := <-done:
			var e *pgconn.PgError
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Assert(t, e.Code == "57014" || e.Code == "08007", e.Code)
		case <-time.After(5 * time.Second):
			t.Fatalf("through %s: the request still runs 5 s after it was cancelled", address)
		}
	}
}

func TestALeavingEndpointGetsNoNewWork(t *testing.T) {
	cl := start(t, group.Conditions{})
	ctx := context.Background()
	c, err := pgx.Connect(ctx, url(cl.Addresses()[0], "paid-orders"))
	assert.NilError(t, err)
	_, err = c.Exec(ctx, "CREATE TABLE orders (id bigint, pet text)")
	assert.NilError(t, err)
	g := cl.Groups[0]
	primary := g.Primary()
	cl.PublishHostListLeaving(map[string]bool{primary.Name(): true})
	time.Sleep(leavingLimit)
	readsAsPrimaryBefore, readsAsReplicaBefore := primary.Reads()
	for i := range 40 {
		_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO orders (id, pet) VALUES (%d, 'cat')", i))
		assert.NilError(t, err)
		_, err = c.Exec(ctx, "SELECT id FROM orders")
		assert.NilError(t, err)
	}
	readsAsPrimary, readsAsReplica := primary.Reads()
	assert.Equal(t, readsAsPrimary+readsAsReplica, readsAsPrimaryBefore+readsAsReplicaBefore, "a leaving endpoint ran queries")
	assert.Assert(t, g.Primary() != primary)
}

func TestANamedSessionReadsItsWritesThroughEveryProxyAndOwner(t *testing.T) {
	cl := start(t, group.Conditions{ApplyDelay: 150 * time.Millisecond})
	ctx := context.Background()
	connect := func(i int) *pgx.Conn {
		c, err := pgx.Connect(ctx, url(cl.Proxies[i].Service.Addresses().Postgres, "paid-orders")+"&eelgrassladder.session_name=phone-7")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close(ctx) })
		return c
	}
	_, err := connect(0).Exec(ctx, "CREATE TABLE orders (id bigint, pet text)")
	assert.NilError(t, err)
	for i := range 10 {
		_, err := connect(i%5).Exec(ctx, fmt.Sprintf("INSERT INTO orders (id, pet) VALUES (%d, 'dog')", i))
		assert.NilError(t, err)
		if i == 5 {
			// The next owner does not know the named session, only the position
			// that reads of every unknown session must see.
			owner := cl.Owner("commission-orders-1")
			assert.Assert(t, cl.Kill(owner))
			assert.NilError(t, cl.StartProxy(owner))
			assert.NilError(t, cl.AwaitServed(ctx))
		}
		var rows int64
		assert.NilError(t, connect((i+1)%5).QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&rows))
		assert.Equal(t, rows, int64(i+1), "the session does not read its own write")
	}
}

// TestABatchThatFailsAfterItsCommitIsNotRetried fences the primary between the COMMIT
// of a batch and the batch's last statement. A proxy that retried the whole batch would
// run the commit again.
func TestABatchThatFailsAfterItsCommitIsNotRetried(t *testing.T) {
	cl := start(t, group.Conditions{})
	ctx := context.Background()
	c, err := pgx.Connect(ctx, url(cl.Addresses()[0], "deposits"))
	assert.NilError(t, err)
	_, err = c.Exec(ctx, "CREATE TABLE orders (id bigserial, pet text)")
	assert.NilError(t, err)
	for i, batch := range []string{
		"BEGIN; INSERT INTO orders (pet) VALUES ('cat'); COMMIT; SELECT pg_sleep(0.4); SELECT id FROM orders",
		"INSERT INTO orders (pet) VALUES ('dog'); COMMIT; SELECT pg_sleep(0.4); SELECT id FROM orders",
	} {
		if i == 1 {
			_, err = c.Exec(ctx, "BEGIN")
			assert.NilError(t, err)
		}
		primary := cl.Groups[0].Primary()
		fence := task.New(ctx)
		fence.Go("fence", func(ctx context.Context) error {
			time.Sleep(200 * time.Millisecond)
			for _, m := range cl.Groups[0].HostListEntries() {
				if m.Name != primary.Name() {
					continue
				}
				control := endpoint.NewControlConnection(m.Address, "commission-orders-1", endpoint.Credentials{User: "test"})
				defer control.Close()
				_, err := control.Fence(ctx, primary.Progress().Term+1, "another proxy")
				return err
			}
			return nil
		})
		_, err = c.Exec(ctx, batch)
		assert.NilError(t, fence.Wait())
		var e *pgconn.PgError
		assert.Assert(t, errors.As(err, &e), "%v", err)
		assert.Equal(t, e.Code, "08007", "a commit that has run, and may be lost with its term, was not reported as unknown")
		_, err = c.Exec(ctx, "ROLLBACK")
		assert.NilError(t, err)
		var rows int64
		assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&rows))
		assert.Assert(t, rows <= int64(i+1), "the commit ran twice: %d rows", rows)
	}
}
