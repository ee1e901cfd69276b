package sibling

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/listener"
)

const (
	// maxMessage is the longest message that is read. The longest one holds the
	// configuration.
	maxMessage = 1 << 20
	// maxConnections is the highest number of connections. Each of 41 other proxies has one
	// for heartbeats and may open some for notices and loans.
	maxConnections = 256
)

// bounds are what a connection of another proxy may take. The library holds a message in two
// buffers that grow by doubling. Among many proxies, two exchange heartbeats at random times,
// minutes apart at most.
var bounds = listener.Bounds{Copies: 4, Started: 10 * time.Second, Idle: 10 * time.Minute, Write: 5 * time.Second}
