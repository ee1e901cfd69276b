// Package configuration holds what operators state for the whole system:
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

// verifierPrefix starts every verifier of a password.
const verifierPrefix = "SCRAM-SHA-256$"

// Configuration is one accepted version. It is immutable: its maps and
// slices are never written after Parse.
type Configuration struct {
	// Version only grows; zero is the empty configuration before the first.
	Version uint64
	// ChangeID is the identifier of the change that set the version.
	ChangeID string
	// Text is the configuration as the operator wrote it.
	Text string
	// callers is keyed by name.
	callers map[string]caller.Caller
	// classes is keyed by name.
	classes map[string]class.Class
	// names lists the classes in the order of the text.
	names []string
}

// document is the layout of the text.
type document struct {
	Callers []caller.Caller
	Classes []class.Class
}

// Parse reads and checks the text of a configuration. The configuration is
// usable only if there are no findings.
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

// WithVersion returns the configuration under the version and change that
// the store gave it.
func (c Configuration) WithVersion(version uint64, changeID string) Configuration {
	c.Version = version
	c.ChangeID = changeID
	return c
}

// Class returns the class with the name.
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

// Caller returns the caller with the name.
func (c Configuration) Caller(name string) (caller.Caller, bool) {
	found, ok := c.callers[name]
	return found, ok
}

// addClasses checks the classes and adds them.
func (c *Configuration) addClasses(d *finding.Document, all []class.Class) {
	if len(all) == 0 {
		d.Add("/Classes", "must name at least one class of work")
	}
	for i, one := range all {
		at := place("/Classes", i)
		if one.Name == "" {
			d.Add(at+"/Name", "must not be empty")
		}
		if _, ok := c.classes[one.Name]; ok {
			d.Add(at+"/Name", "class %q stands twice", one.Name)
		}
		if one.Target.Share <= 0 || one.Target.Share >= 1 {
			d.Add(at+"/Target/Share", "must be above 0 and below 1")
		}
		if one.Target.Within <= 0 {
			d.Add(at+"/Target/Within", "must be above zero")
		}
		c.classes[one.Name] = one
		c.names = append(c.names, one.Name)
	}
}

// addCallers checks the callers and adds them.
func (c *Configuration) addCallers(d *finding.Document, all []caller.Caller) {
	for i, one := range all {
		at := place("/Callers", i)
		if one.Name == "" {
			d.Add(at+"/Name", "must not be empty")
		}
		if _, ok := c.callers[one.Name]; ok {
			d.Add(at+"/Name", "caller %q stands twice", one.Name)
		}
		if !strings.HasPrefix(one.Verifier, verifierPrefix) {
			d.Add(at+"/Verifier", "must be a SCRAM-SHA-256 verifier; make one with `eelgrassladder verifier`")
		}
		if len(one.Classes) == 0 {
			d.Add(at+"/Classes", "must name at least one class")
		}
		for k, name := range one.Classes {
			if _, ok := c.classes[name]; !ok {
				d.Add(place(at+"/Classes", k), "class %q is not among /Classes", name)
			}
		}
		if len(one.Databases) == 0 {
			d.Add(at+"/Databases", "must name at least one database")
		}
		c.callers[one.Name] = one
	}
}
