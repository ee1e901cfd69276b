package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
)

// startProcess starts a program with its output in the file log, and kills it
// at the end of the test.
func startProcess(t *testing.T, log string, program string, arguments ...string) *exec.Cmd {
	t.Helper()
	out, err := os.Create(log)
	assert.NilError(t, err)
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = out, out
	assert.NilError(t, c.Start())
	t.Cleanup(func() {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
		_ = out.Close()
	})
	return c
}

// freePorts returns n loopback addresses with different ports that were free.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func writeFile(t *testing.T, file, text string) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// eventually calls f until it returns no error, and fails the test after 20 s.
// The condition, a clause, is part of the failure's text.
func eventually(t *testing.T, condition string, f func() error) {
	t.Helper()
	var last error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last = f(); last == nil {
			return
		}
	}
	t.Fatalf("timed out waiting until %s: %v", condition, last)
}

// TestProcessesServeARequestFromEndToEnd runs the simulated platform, a
// simulated group and two proxies as processes, and operates them from the
// command line.
func TestProcessesServeARequestFromEndToEnd(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../...")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	product, lab := filepath.Join(dir, "eelgrassladder"), filepath.Join(dir, "eelgrasslab")
	// addressPool holds the addresses of the three members, the platform, and for
	// each of the two proxies those of Postgres, HTTP, operators and siblings.
	addressPool := freePorts(t, 12)
	token := writeFile(t, filepath.Join(dir, "token"), "lab-token\n")
	hosts := `{"Proxies": [], "Endpoints": [`
	for i := range 3 {
		hosts += fmt.Sprintf(`{"Name": "commission-orders-1-%c", "Group": "commission-orders-1", "DataCentre": "a", "Address": %q, "Leaving": false, "Slots": 2, "Connections": 16},`, 'a'+i, addressPool[i])
	}
	startProcess(t, filepath.Join(dir, "platform.log"), lab, "platform", "--address", addressPool[3], "--hosts", writeFile(t, filepath.Join(dir, "hosts"), hosts+"]}"))
	startProcess(t, filepath.Join(dir, "group.log"), lab, "group", "--name", "commission-orders-1", "--address", addressPool[0], "--address", addressPool[1], "--address", addressPool[2])
	var proxies []*exec.Cmd
	for i := range 2 {
		addresses := addressPool[4+4*i:]
		settings := fmt.Sprintf(`{"Name": "proxy-%d", "DataCentre": "a", "Platform": {"Address": %q}, "Siblings": [%q],
			"Listen": {"Postgres": %q, "HTTP": %q, "Operator": %q, "Sibling": %q},
			"Endpoints": {"User": "eelgrassladder"}, "Operators": {"TokenFile": %q}}`, i, addressPool[3], addressPool[7], addresses[0], addresses[1], addresses[2], addresses[3], token)
		file := writeFile(t, filepath.Join(dir, fmt.Sprintf("proxy-%d", i)), settings)
		proxies = append(proxies, startProcess(t, filepath.Join(dir, fmt.Sprintf("proxy-%d.log", i)), product, "serve", "--settings", file))
	}
	eventually(t, "the operators' port answers", func() error {
		_, err := http.Get("http://" + addressPool[6] + "/livez")
		return err
	})
	firstPut, err := exec.Command(product, "configure", "put", "--operator", addressPool[6], "--token-file", token, "--based", "0",
		"../../examples/magnolia/configuration.hujson").CombinedOutput()
	assert.NilError(t, err, string(firstPut))
	assert.Equal(t, string(firstPut), "Version: 1\n")
	stalePut, err := exec.Command(product, "configure", "put", "--operator", addressPool[10], "--token-file", token, "--based", "0",
		"../../examples/magnolia/configuration.hujson").CombinedOutput()
	assert.Assert(t, err != nil)
	assert.Assert(t, strings.Contains(string(stalePut), "based on version 0 and version 1 is in force"), string(stalePut))

	ctx := context.Background()
	// The class deposits allows no staleness, so the count includes rows that
	// other sessions wrote. The caller's default class may read data that is 2
	// s old.
	url := "postgres://commissions:brushwork@%s/commission-orders-1?sslmode=disable&eelgrassladder.class=deposits"
	var c *pgx.Conn
	eventually(t, "a caller is served", func() error {
		if c, err = pgx.Connect(ctx, fmt.Sprintf(url, addressPool[8])); err != nil {
			return err
		}
		_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS proofs (id bigserial, pet text)")
		return err
	})
	body := `{"Database": "commission-orders-1", "Class": "deposits", "Key": "k-1", "Statements": [
		{"SQL": "INSERT INTO proofs (pet) VALUES ($1) RETURNING id", "Arguments": ["Biscuit"]}]}`
	first, again := post(t, addressPool[5], body), post(t, addressPool[5], body)
	assert.Equal(t, first["Outcome"], "Done")
	assert.DeepEqual(t, again, first)
	var rows int64
	assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM proofs").Scan(&rows))
	assert.Equal(t, rows, int64(1), "two requests with one key did not insert exactly one row")

	groups, err := exec.Command(product, "groups", "--operator", addressPool[6], "--token-file", token).CombinedOutput()
	assert.NilError(t, err, string(groups))
	assert.Assert(t, strings.Contains(string(groups), "commission-orders-1"), string(groups))
	report, err := exec.Command(product, "report", "burn", "--operator", addressPool[6], "--operator", addressPool[10], "--token-file", token).CombinedOutput()
	assert.NilError(t, err, string(report))
	assert.Assert(t, strings.Contains(string(report), "deposits"), string(report))

	freezeOwner(t, product, token, proxies, []string{addressPool[4], addressPool[8]}, []string{addressPool[6], addressPool[10]})
	for i, process := range proxies {
		assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, process.Wait(), "proxy %d did not shut down cleanly", i)
		assertLogIsJSON(t, filepath.Join(dir, fmt.Sprintf("proxy-%d.log", i)))
	}
}

// freezeOwner suspends, with SIGSTOP, the process of the proxy that owns the
// group. It checks that the other proxy takes over, and that no acknowledged
// write is lost once the first one continues.
func freezeOwner(t *testing.T, product, token string, proxies []*exec.Cmd, postgres, operators []string) {
	t.Helper()
	owner := 0
	groups, err := exec.Command(product, "groups", "--operator", operators[0], "--token-file", token).CombinedOutput()
	assert.NilError(t, err, string(groups))
	if strings.Contains(string(groups), "Owner=proxy-1") {
		owner = 1
	}
	other := 1 - owner
	acknowledged := int64(0)
	insert := func(i int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://commissions:brushwork@%s/commission-orders-1?sslmode=disable", postgres[i]))
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(ctx) }()
		if _, err = c.Exec(ctx, "INSERT INTO frozen (pet) VALUES ('Biscuit')"); err == nil {
			acknowledged++
		}
		return err
	}
	ctx := context.Background()
	// The class deposits allows no staleness, so its reads see all rows.
	c, err := pgx.Connect(ctx, fmt.Sprintf(
		"postgres://commissions:brushwork@%s/commission-orders-1?sslmode=disable&eelgrassladder.class=deposits", postgres[other]))
	assert.NilError(t, err)
	_, err = c.Exec(ctx, "CREATE TABLE frozen (id bigserial, pet text)")
	assert.NilError(t, err)
	assert.NilError(t, proxies[owner].Process.Signal(syscall.SIGSTOP))
	eventually(t, "the other proxy serves while the owner is frozen", func() error { return insert(other) })
	assert.NilError(t, proxies[owner].Process.Signal(syscall.SIGCONT))
	for range 10 {
		eventually(t, "the former owner serves after it continues", func() error { return insert(owner) })
		eventually(t, "the other proxy serves after the former owner continues", func() error { return insert(other) })
	}
	var rows int64
	assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM frozen").Scan(&rows))
	assert.Assert(t, rows >= acknowledged, "%d rows remain of %d acknowledged writes", rows, acknowledged)
	assert.NilError(t, c.Close(ctx))
}

// post runs a request of the caller commissions over HTTP and returns the decoded
// response.
func post(t *testing.T, address, body string) map[string]any {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/run", bytes.NewBufferString(body))
	assert.NilError(t, err)
	r.SetBasicAuth("commissions", "brushwork")
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	var result map[string]any
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&result))
	return result
}

// assertLogIsJSON asserts that each line of a log is a JSON object without
// secrets.
func assertLogIsJSON(t *testing.T, file string) {
	t.Helper()
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var entry map[string]any
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &entry), lines.Text())
		for _, secret := range []string{"brushwork", "lab-token", "SCRAM", "Biscuit"} {
			assert.Assert(t, !strings.Contains(lines.Text(), secret), lines.Text())
		}
	}
}

func TestExitCodesDistinguishUsageErrorsFromFailures(t *testing.T) {
	dir := t.TempDir()
	bad := writeFile(t, filepath.Join(dir, "bad.hujson"), `{"Classes": [], "Wrong": 1}`)
	assert.Equal(t, run([]string{"check", "../../examples/magnolia/configuration.hujson", "../../examples/processes/proxy-1.hujson"}), 0)
	assert.Equal(t, run([]string{"check", bad}), command.ExitUsage)
	output, err := exec.Command("go", "run", ".", "check", bad).CombinedOutput()
	assert.Assert(t, err != nil)
	assert.Assert(t, strings.HasPrefix(string(output), bad+":1: /Wrong: unknown key\n"), string(output))
	assert.Equal(t, run([]string{"serve", "--settings", filepath.Join(dir, "none")}), command.ExitUsage)
	assert.Equal(t, run([]string{"serve", "--unknown"}), command.ExitUsage)
	assert.Equal(t, run([]string{"configure", "get", "--operator", "127.0.0.1:1", "--token-file", bad}), command.ExitFailure)
}

func TestExplainTakesEitherARequestOrAGroup(t *testing.T) {
	log := writeFile(t, filepath.Join(t.TempDir(), "log"),
		`{"Time":"2026-01-01T09:00:10Z","Message":"Change of primary begun","Group":"g"}`+"\n")
	for _, test := range []struct {
		arguments []string
		code      int
	}{
		{[]string{"--group", "g"}, 0},
		{[]string{"--group", "g", "--from", "2026-01-01T09:00:10Z", "--to", "2026-01-01T10:00:10.5+01:00"}, 0},
		{[]string{"--group", "g", "--from", "2026-01-01T09:00:11Z"}, command.ExitFailure},
		{[]string{"--group", "other"}, command.ExitFailure},
		{[]string{"--request", "q"}, command.ExitFailure},
		{nil, command.ExitUsage},
		{[]string{"--group", "g", "--request", "q"}, command.ExitUsage},
		{[]string{"--request", "q", "--to", "2026-01-01T09:00:11Z"}, command.ExitUsage},
		{[]string{"--group", "g", "--from", "nine"}, command.ExitUsage},
	} {
		assert.Equal(t, run(append([]string{"explain", log}, test.arguments...)), test.code, "%v", test.arguments)
	}
}
