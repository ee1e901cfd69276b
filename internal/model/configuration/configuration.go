// Package configuration holds the operators' configuration of the whole system:
// callers, classes of work and their targets.
package configuration

import (
	"strings"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
	"eelgrassladder.example/eelgrassladder/internal/model/caller"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
)

// MaxBytes is the longest text of a configuration, in bytes.
const MaxBytes = 900 << 10

// verifierPrefix is the prefix of each password verifier.
const verifierPrefix = "SCRAM-SHA-256$"

// Configuration is one accepted version of the configuration. It is immutable: its
// maps and slices are never written after Parse.
type Configuration struct {
	// Version grows with each change; zero for the empty configuration before the
	// first.
	Version uint64
	// ChangeID is the identifier of the change that set the version.
	ChangeID string
	// Text is the configuration as the operator wrote it.
	Text string
	// callers is keyed by name.
	callers map[string]caller.Caller
	// classes is keyed by name.
	classes map[string]class.Class
	// names holds the names of the classes in the order of the text.
	names []string
}

// document is the structure of the text.
type document struct {
	Callers []caller.Caller
	Classes []class.Class
}

// Parse decodes and checks the text of a configuration. The configuration may be used
// only if there are no findings. The file names the text in findings.
func Parse(file string, text []byte) (Configuration, finding.Findings) {
	var content document
	d := finding.Decode(file, text, &content)
	if len(text) > MaxBytes {
		d.Add("/", "is longer than %d bytes", MaxBytes)
	}
	if len(d.Findings()) > 0 {
		return Configuration{}, d.Findings()
	}
	c := Configuration{
		Text:    string(text),
		callers: make(map[string]caller.Caller, len(content.Callers)),
		classes: make(map[string]class.Class, len(content.Classes)),
	}
	c.addClasses(d, content.Classes)
	c.addCallers(d, content.Callers)
	return c, d.Findings()
}

// WithVersion returns the configuration with the version that the store gave it, and
// the identifier of the change.
func (c Configuration) WithVersion(version uint64, changeID string) Configuration {
	c.Version = version
	c.ChangeID = changeID
	return c
}

// Class returns a class by its name.
func (c Configuration) Class(name string) (class.Class, bool) {
	found, ok := c.classes[name]
	return found, ok
}

// Classes returns all classes in the order of the text.
func (c Configuration) Classes() []class.Class {
	all := make([]class.Class, 0, len(c.names))
	for _, name := range c.names {
		all = append(all, c.classes[name])
	}
	return all
}

// Caller returns a caller by its name.
func (c Configuration) Caller(name string) (caller.Caller, bool) {
	found, ok := c.callers[name]
	return found, ok
}

// addClasses checks the classes and adds them.
func (c *Configuration) addClasses(d *finding.Document, all []class.Class) {
	if len(all) == 0 {
		d.Add("/Classes", "must name at least one class of work")
	}
	for i, parsed := range all {
		path := elementPath("/Classes", i)
		if parsed.Name == "" {
			d.Add(path+"/Name", "must not be empty")
		}
		if _, ok := c.classes[parsed.Name]; ok {
			d.Add(path+"/Name", "class %q stands twice", parsed.Name)
		}
		if parsed.Target.Share <= 0 || parsed.Target.Share >= 1 {
			d.Add(path+"/Target/Share", "must be above 0 and below 1")
		}
		if parsed.Target.Within <= 0 {
			d.Add(path+"/Target/Within", "must be above zero")
		}
		c.classes[parsed.Name] = parsed
		c.names = append(c.names, parsed.Name)
	}
}

// addCallers checks the callers and adds them.
func (c *Configuration) addCallers(d *finding.Document, all []caller.Caller) {
	for i, parsed := range all {
		path := elementPath("/Callers", i)
		if parsed.Name == "" {
			d.Add(path+"/Name", "must not be empty")
		}
		if _, ok := c.callers[parsed.Name]; ok {
			d.Add(path+"/Name", "caller %q stands twice", parsed.Name)
		}
		if !strings.HasPrefix(parsed.Verifier, verifierPrefix) {
			d.Add(path+"/Verifier", "must be a SCRAM-SHA-256 verifier; make one with `eelgrassladder verifier`")
		}
		if len(parsed.Classes) == 0 {
			d.Add(path+"/Classes", "must name at least one class")
		}
		for k, name := range parsed.Classes {
			if _, ok := c.classes[name]; !ok {
				d.Add(elementPath(path+"/Classes", k), "class %q is not among /Classes", name)
			}
		}
		if len(parsed.Databases) == 0 {
			d.Add(path+"/Databases", "must name at least one database")
		}
		c.callers[parsed.Name] = parsed
	}
}
