// Package soak runs real proxies as processes of their own against a simulation of
// the users' platform. It injects faults into members, the store, connections and
// processes, and checks the guarantees by what clients and members see.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// recoveryLimit bounds the wait for service, for each proxy and group, before the first
// fault and after the last. The users demand service within this time.
const recoveryLimit = 12 * time.Second

// logTime is the layout of times in the logs of the proxies.
const logTime = "15:04:05.000000"

// Plan describes a run. It is immutable.
type Plan struct {
	// Seed determines the faults and the operations of clients.
	Seed uint64
	// Length is the time during which faults begin.
	Length time.Duration
	// Proxies and Groups are the numbers of proxies and of database groups.
	Proxies, Groups int
	// DataCentres is the number of data centres in which the proxies are, in turn. Each
	// reaches the members by relays of its own.
	DataCentres int
	// ClientsPerGroup is the number of clients of each group. Slots is how many statements
	// run at a member at a time, and StatementTime how long each takes.
	ClientsPerGroup, Slots int
	StatementTime          time.Duration
	// Faults names the faults to draw, one of them at a time. Each is as likely as the
	// number of times that it is named.
	Faults []string
	// Teams is the number of teams in whose names the clients call; zero for a platform
	// without teams. CheckQuotas makes the run check that no team exceeds its limit.
	Teams       int
	CheckQuotas bool
	// Connections is the limit of connections of each member; zero for 24, or two for each
	// proxy.
	Connections int
	// FaultPause is the longest pause between the starts of two faults.
	FaultPause time.Duration
	// Binary is the path of the program that runs as a proxy.
	Binary string
	// Folder is where settings and logs of the proxies are written.
	Folder string
	// Output gets a line for each start and end of a fault; nil for none.
	Output io.Writer
}

// Result is the result of a run. It is immutable.
type Result struct {
	// Violations describe the violated guarantees.
	Violations []string
	// Served and Failed count the operations of clients that succeeded or failed.
	Served, Failed int
	// Compared counts the statements that members ran and that were compared with what
	// clients had sent.
	Compared int
	// Versions counts the versions of the teams, and Unauthorized the statements and sessions
	// that were refused for their keys.
	Versions, Unauthorized int
	// Starts counts the starts of proxies' processes, and Promotions the promotions that
	// the groups accepted.
	Starts, Promotions int
}

// DefaultPlan returns a plan for a few proxies in one data centre, with fast members and
// with the usual faults.
func DefaultPlan(seed uint64) Plan {
	p := testbed.DefaultPlan()
	return Plan{
		Seed: seed, Length: 15 * time.Second, Proxies: 4, Groups: 2, DataCentres: 1,
		ClientsPerGroup: 6, Slots: p.Slots, StatementTime: p.StatementTime,
		Faults: UsualFaults(), FaultPause: 1500 * time.Millisecond,
	}
}

// runner is the state of one run. Run creates it.
type runner struct {
	plan      Plan
	began     time.Time
	testbed   *testbed.Testbed
	processes []*process
	// network holds the relays.
	network network
	// promotions counts accepted promotions, and delays draws how late they are.
	promotions atomic.Int64
	delays     delays
	// holders checks the holders of orders, and store records the disruptions of the store.
	holders holders
	store   disruptions
	// spans records all disturbances that delay the spread of a version of the configuration.
	spans spans
	// versions holds the versions of the teams, operations what members ran for each, and
	// floors the lowest versions of the proxies. operationCount numbers the operations, and unauthorized counts refusals.
	versions       versions
	operations     operations
	floors         floors
	operationCount atomic.Uint64
	unauthorized   atomic.Int64
	// pacing says how fast the clients of teams are.
	pacing pacing
	// orderStops holds the stops of processes around orders.
	orderStops orderStops
	// standstill is true while the promotion interface stands still, and until it has
	// executed the orders that wait. These are not delayed again: promotions are late by
	// either fault, not by the sum of both.
	standstill atomic.Bool
	clients    []*client
	violations violations
	// statements holds what clients sent, to compare it with what members run.
	statements statements
	// faultyParts holds the names of the groups that have a member with a fault, and of other
	// parts with one. Only the goroutine of runSchedule uses it.
	faultyParts map[string]bool
	// outputMutex guards the output. No other lock is taken while it is held.
	outputMutex sync.Mutex
	// joined counts the members that the schedule adds.
	joined int
	// addedKeys counts the keys that the schedule adds to those of the first version.
	addedKeys int
}

// Build compiles the program of a proxy into the folder and returns its path. The error
// contains the compiler's output.
func Build(folder string) (string, error) {
	binary := filepath.Join(folder, "eelgrassladder")
	output, err := exec.Command("go", "build", "-o", binary, "eelgrassladder.example/eelgrassladder/cmd/eelgrassladder").CombinedOutput()
	return binary, errors.Wrap(err, string(output))
}

// Run runs one soak. It fails if the system can't be started or does not serve before
// any fault; violated guarantees are in the result.
func Run(ctx context.Context, p Plan) (Result, error) {
	r := &runner{plan: p, began: time.Now(), faultyParts: map[string]bool{}, delays: delays{random: rand.New(rand.NewPCG(p.Seed, 0))}, statements: statements{sent: map[string]sentStatement{}}}
	r.network.repeating, r.network.seed = p.stutters(), p.Seed
	if err := r.checkFaults(); err != nil {
		return Result{}, err
	}
	platform := task.New(ctx)
	defer func() {
		platform.Stop()
		_ = platform.Wait() // the tasks end with the error of their context
	}()
	platformPlan := testbed.DefaultPlan()
	platformPlan.Groups, platformPlan.Connections = p.Groups, cmp.Or(p.Connections, max(24, 2*p.Proxies))
	platformPlan.Slots, platformPlan.StatementTime = p.Slots, p.StatementTime
	platformPlan.Eras = slices.Contains(p.Faults, drillName)
	if p.Teams > 0 {
		platformPlan.Teams = r.firstTeams()
		r.versions.begin(newVersion(platformPlan.Teams))
		r.versions.acknowledge()
	}
	t, err := testbed.New(platform, platformPlan)
	if err != nil {
		return Result{}, err
	}
	r.testbed = t
	for _, g := range t.Groups {
		g.OnPromotion = func(*member.Member) { r.promotions.Add(1) }
		g.DelayPromotion, g.LateLead, g.OnOrder, g.OnRun = r.delayPromotion, r.delayLead, r.noteOrder, r.checkRun
		if p.Teams > 0 {
			g.OnMessage = r.checkMessage
		}
		g.OnLost = func(description string, commits []map[string]string) {
			r.printf("%s  LOST %s; %q\n", time.Now().Format(logTime), description, commits)
			r.violations.addLost(commits)
		}
	}
	t.Store.Observe(r.stopAtElection)
	if r.network.views, err = r.serveViews(platform); err != nil {
		return Result{}, err
	}
	proxies := task.New(ctx)
	defer func() {
		proxies.Stop()
		_ = proxies.Wait() // the tasks end with the error of their context
	}()
	if err := r.startProxies(platform, proxies); err != nil {
		return Result{}, err
	}
	if err := r.awaitService(ctx); err != nil {
		return Result{}, errors.WithMessage(err, "wait for service before any fault")
	}
	r.work(ctx)
	return r.finish(ctx), nil
}

// delayPromotion returns the time by which the platform delays an order.
func (r *runner) delayPromotion(member.Order) time.Duration {
	if r.standstill.Load() {
		return r.delays.ofTakeUp()
	}
	return r.delays.ofOrder()
}

// delayLead returns the time by which a promoted member leads late.
func (r *runner) delayLead() time.Duration {
	if r.standstill.Load() {
		return 0
	}
	return r.delays.ofLead()
}

// startProxies starts all proxies, each with a relay of its own to the store and one
// from its clients.
func (r *runner) startProxies(platform, g *task.Group) error {
	if err := os.MkdirAll(r.plan.Folder, 0o700); err != nil {
		return errors.WithStack(err)
	}
	for i := range r.plan.Proxies {
		name := fmt.Sprintf("proxy-%d", i)
		dataCentre := i % r.plan.DataCentres
		store, err := r.network.add(platform, name+linkToStore, r.network.views[dataCentre])
		if err != nil {
			return err
		}
		settings := r.testbed.Settings(name)
		settings.DataCentre = fmt.Sprintf("zone-%d", dataCentre)
		p, err := newProcess(settings, store, r.plan.Binary, r.plan.Folder, &r.spans)
		if err != nil {
			return err
		}
		if p.callerAddress, err = r.network.add(platform, "clients to "+name, p.settings.Callers); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for _, p := range r.processes {
		g.Go(p.settings.Name, p.run)
	}
	return nil
}

// process returns the process of the proxy with a name; nil if there is none.
func (r *runner) process(name string) *process {
	i := slices.IndexFunc(r.processes, func(p *process) bool { return p.settings.Name == name })
	if i < 0 {
		return nil
	}
	return r.processes[i]
}

// work runs the clients while the faults are injected.
func (r *runner) work(ctx context.Context) {
	r.began = time.Now()
	r.printf("  0.000 s  faults begin at %s\n", r.began.Format(logTime))
	random := rand.New(rand.NewPCG(r.plan.Seed, 1))
	faults := r.drawSchedule(random, r.plan.Length)
	for i := range r.plan.Groups * r.plan.ClientsPerGroup {
		c := &client{
			run: r, index: uint64(i), group: i % r.plan.Groups, team: i / r.plan.Groups % max(r.plan.Teams, 1), random: rand.New(rand.NewPCG(r.plan.Seed, uint64(i)+2)),
			ledger: ledger{item: fmt.Sprintf("item-%d", i), refused: map[int]bool{}, told: map[int]bool{}},
		}
		r.clients = append(r.clients, c)
	}
	r.runClients(ctx, func() { r.runSchedule(ctx, faults) })
}

// runClients runs the clients until a function returns.
func (r *runner) runClients(ctx context.Context, until func()) {
	clientsContext, stopClients := context.WithCancel(ctx)
	g := task.New(clientsContext)
	for _, c := range r.clients {
		g.GoIsolated("client", c.work)
	}
	until()
	stopClients()
	_ = g.Wait() // clients return no error
}

// finish removes the faults of the store, relays and members, checks that every proxy
// serves again and no acknowledged write is lost, and returns the result.
func (r *runner) finish(ctx context.Context) Result {
	r.testbed.Store.SetConditions(keyvalue.Conditions{})
	r.network.repair()
	r.delays.clear()
	for _, p := range r.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, g := range r.testbed.Groups {
		for _, m := range g.Members() {
			m.SetFault(member.Fault{})
		}
	}
	began := time.Now()
	if err := r.awaitService(ctx); err != nil {
		r.recordViolation("service is not back after the end of the faults: %v", err)
	}
	r.printf("service is back %v after the end of the faults\n", time.Since(began))
	if r.plan.Teams > 0 {
		r.checkCalm(ctx)
	}
	if r.plan.Teams > 0 && r.plan.CheckQuotas {
		r.checkQuotas()
	}
	var result Result
	for _, c := range r.clients {
		r.verifyLastWrite(c)
		r.verifyLostWrites(c)
		result.Served += int(c.ledger.served.Load())
		result.Failed += int(c.ledger.failed.Load())
	}
	for _, g := range r.testbed.Groups {
		if lost, lowered := g.Violations(); lost+lowered > 0 {
			r.recordViolation("%d acknowledged commits lost, %d promotions with a lowered token: %s: %v", lost, lowered, strings.Join(g.LoweredTokens(), "; "), g)
		}
	}
	for _, p := range r.processes {
		result.Starts += p.starts
	}
	result.Promotions, result.Compared = int(r.promotions.Load()), r.statements.compared()
	result.Versions, result.Unauthorized = len(r.versions.all()), int(r.unauthorized.Load())
	result.Violations = r.violations.messages
	return result
}

// awaitService waits until a write succeeds in every group through every proxy. Each
// of them must succeed within recoveryLimit. A proxy that was told to end still serves while it
// drains, and refuses what comes after that; it counts once its process has started again.
func (r *runner) awaitService(ctx context.Context) error {
	for _, p := range r.processes {
		for i := range r.plan.Groups {
			err := testbed.WaitFor(ctx, recoveryLimit, func() bool {
				if !p.undisturbed() {
					return false
				}
				s, err := r.dial(p, inspectionKey, fmt.Sprintf("primary-%d", i))
				if err != nil {
					return false
				}
				defer s.Close()
				a, err := s.Do("WRITE probe 1")
				return err == nil && a.OK()
			})
			if err != nil {
				return errors.WithMessagef(err, "proxy %s, group %d: %v", p.settings.Name, i, r.testbed.Groups[i])
			}
		}
	}
	return nil
}

// verifyLostWrites reports the lost commits whose client was told that they were
// acknowledged.
func (r *runner) verifyLostWrites(c *client) {
	for _, writes := range r.violations.lost() {
		value, written := writes[c.ledger.item]
		if n, err := valueOf(value); written && err == nil && c.ledger.told[n] {
			r.recordViolation("%s: the value %d was acknowledged to the client and is lost", c.ledger.item, n)
		}
	}
}

// verifyLastWrite reads a client's item through the first proxy and checks its value
// against the client's ledger.
func (r *runner) verifyLastWrite(c *client) {
	s, err := r.dial(r.processes[0], inspectionKey, fmt.Sprintf("primary-%d", c.group))
	if err != nil {
		r.recordViolation("%s: the last read failed: %v", c.ledger.item, err)
		return
	}
	defer s.Close()
	minimum := 0
	c.read(s, "primary", &minimum)
}

// printf writes to Plan.Output. It is safe for concurrent use.
func (r *runner) printf(format string, arguments ...any) {
	r.outputMutex.Lock()
	defer r.outputMutex.Unlock()
	if r.plan.Output != nil {
		_, _ = fmt.Fprintf(r.plan.Output, format, arguments...) // the output is for people; its errors are ignored
	}
}
