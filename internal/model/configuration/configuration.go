// Package configuration holds the operators' configuration of the whole system:
// callers, classes of work and their targets.
package configuration

import (
	"strings"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
	"eelgrassladder.example/eelgrassladder/internal/model/caller"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
)

// MaxBytes is the maximum length of the text of a configuration, in bytes.
const MaxBytes = 900 << 10

// verifierPrefix is the prefix of each password verifier.
const verifierPrefix = "SCRAM-SHA-256$"

// Configuration is one accepted version of the configuration. It is immutable: its
// maps and slices are never written after Parse.
type Configuration struct {
	// Version grows with each change; zero for the empty configuration before the
	// first.
	Version uint64
	// ChangeID identifies the change that made the version.
	ChangeID string
	// Text is the configuration as the operator wrote it.
	Text string
	// callers is keyed by name.
	callers map[string]caller.Caller
	// classes is keyed by name.
	classes map[string]class.Class
	// classNames holds the names of the classes in the order of the text.
	classNames []string
}

// document is the structure of the text that operators write.
type document struct {
	Callers []caller.Caller
	Classes []class.Class
}

// Parse decodes and checks the text of a configuration. The configuration may be used
// only if there are no findings. Findings name the text as file.
func Parse(file string, text []byte) (Configuration, finding.Findings) {
	var content document
	doc := finding.Decode(file, text, &content)
	if len(text) > MaxBytes {
		doc.Addf("/", "is longer than %d bytes", MaxBytes)
	}
	if len(doc.Findings()) > 0 {
		return Configuration{}, doc.Findings()
	}
	c := Configuration{
		Text:    string(text),
		callers: make(map[string]caller.Caller, len(content.Callers)),
		classes: make(map[string]class.Class, len(content.Classes)),
	}
	c.addClasses(doc, content.Classes)
	c.addCallers(doc, content.Callers)
	return c, doc.Findings()
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
	classes := make([]class.Class, 0, len(c.classNames))
	for _, name := range c.classNames {
		classes = append(classes, c.classes[name])
	}
	return classes
}

// Caller returns a caller by its name.
func (c Configuration) Caller(name string) (caller.Caller, bool) {
	found, ok := c.callers[name]
	return found, ok
}

// addClasses checks the classes and adds them to c. It adds findings to doc.
func (c *Configuration) addClasses(doc *finding.Document, classes []class.Class) {
	if len(classes) == 0 {
		doc.Addf("/Classes", "must name at least one class of work")
	}
	for i, parsed := range classes {
		path := elementPath("/Classes", i)
		if parsed.Name == "" {
			doc.Addf(path+"/Name", "must not be empty")
		}
		if _, ok := c.classes[parsed.Name]; ok {
			doc.Addf(path+"/Name", "class %q stands twice", parsed.Name)
		}
		if parsed.Target.Share <= 0 || parsed.Target.Share >= 1 {
			doc.Addf(path+"/Target/Share", "must be above 0 and below 1")
		}
		if parsed.Target.Within <= 0 {
			doc.Addf(path+"/Target/Within", "must be above zero")
		}
		c.classes[parsed.Name] = parsed
		c.classNames = append(c.classNames, parsed.Name)
	}
}

// addCallers checks the callers, and that c has their classes, and adds them to c. It
// adds findings to doc.
func (c *Configuration) addCallers(doc *finding.Document, callers []caller.Caller) {
	for i, parsed := range callers {
		path := elementPath("/Callers", i)
		if parsed.Name == "" {
			doc.Addf(path+"/Name", "must not be empty")
		}
		if _, ok := c.callers[parsed.Name]; ok {
			doc.Addf(path+"/Name", "caller %q stands twice", parsed.Name)
		}
		if !strings.HasPrefix(parsed.Verifier, verifierPrefix) {
			doc.Addf(path+"/Verifier", "must be a SCRAM-SHA-256 verifier; make one with `eelgrassladder verifier`")
		}
		if len(parsed.Classes) == 0 {
			doc.Addf(path+"/Classes", "must name at least one class")
		}
		for k, name := range parsed.Classes {
			if _, ok := c.classes[name]; !ok {
				doc.Addf(elementPath(path+"/Classes", k), "class %q is not among /Classes", name)
			}
		}
		if len(parsed.Databases) == 0 {
			doc.Addf(path+"/Databases", "must name at least one database")
		}
		c.callers[parsed.Name] = parsed
	}
}
