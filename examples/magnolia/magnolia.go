// Package magnolia holds the example configuration of Magnolia Brushworks
// Commissions.
package magnolia

import _ "embed"

// Configuration is the text of the example, in JSON with comments.
//
//go:embed configuration.hujson
var Configuration string
