// Package homokforma holds the example configuration of Homokforma
// Mintaműhely Kft.
package homokforma

import _ "embed"

// Configuration is the text of the example, in JSON with comments.
//
//go:embed configuration.hujson
var Configuration string
