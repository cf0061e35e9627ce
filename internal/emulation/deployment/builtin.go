package deployment

import (
	"embed"
	"slices"
	"strings"

	"github.com/juju/errors"
)

//go:embed *.ini
var files embed.FS

// Builtin returns the text of a deployment that is built into the program.
func Builtin(name string) ([]byte, error) {
	content, err := files.ReadFile(name + ".ini")
	return content, errors.Annotatef(err, "no deployment %q", name)
}

// Names returns the sorted names of the deployments that are built into the program.
func Names() ([]string, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, errors.Trace(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".ini"))
	}
	slices.Sort(names)
	return names, nil
}
