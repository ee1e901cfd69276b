package cluster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks(true)
	m.Run()
}

// start starts a cluster of five proxies and stops it at the end of the test.
func start(t *testing.T, conditions group.Conditions) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	cl, err := cluster.Start(ctx, cluster.Plan{Workload: workload.Magnolia(), Proxies: 5, Conditions: conditions})
	assert.NilError(t, err)
	t.Cleanup(func() {
		cl.Stop()
		cancel()
	})
	return cl
}

// url returns the connection URL of a caller of the group commission-orders-1 in a
// class.
func url(address, class string) string {
	return fmt.Sprintf("postgres://commissions:brushwork@%s/commission-orders-1?sslmode=disable&eelgrassladder.class=%s", address, class)
}

func TestAPgxPoolReadsItsWritesThroughEveryProxyInBothQueryModes(t *testing.T) {
	cl := start(t, group.Conditions{})
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, url(cl.Addresses()[0], "deposits"))
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "CREATE TABLE orders (id bigserial, pet text, price bigint)")
	assert.NilError(t, err)
	for i, address := range cl.Addresses() {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
			config, err := pgxpool.ParseConfig(url(address, "deposits"))
			assert.NilError(t, err)
			config.ConnConfig.DefaultQueryExecMode = mode
			pool, err := pgxpool.NewWithConfig(ctx, config)
			assert.NilError(t, err)
			var id int64
			name := fmt.Sprintf("horse %d %v", i, mode)
			err = pool.QueryRow(ctx, "INSERT INTO orders (pet, price) VALUES ($1, $2) RETURNING id", name, int64(40+i)).Scan(&id)
			assert.NilError(t, err)
			tx, err := pool.Begin(ctx)
			assert.NilError(t, err)
			_, err = tx.Exec(ctx, "UPDATE orders SET price = price + $1 WHERE id = $2", int64(5), id)
			assert.NilError(t, err)
			assert.NilError(t, tx.Commit(ctx))
			var price int64
			var pet string
			assert.NilError(t, pool.QueryRow(ctx, "SELECT pet, price FROM orders WHERE id = $1", id).Scan(&pet, &price))
			assert.Equal(t, price, int64(45+i))
			assert.Equal(t, pet, name)
			pool.Close()
		}
	}
}
