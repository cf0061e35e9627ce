package command

import (
	"bytes"
	"context"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
	"github.com/nutmegshift/nutmegshift/internal/settings"
)

// reloadInterval is how often the settings file is read for changes that come
// without a signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings file again when it is asked to and when it changes. The log
// settings apply at once; the others take effect at the next start.
type reloader struct {
	name     string
	asked    <-chan os.Signal
	log      *logging.Log
	content  []byte // in force
	rejected []byte // that was last reported as not usable
}

func newReloader(name string, content []byte, asked <-chan os.Signal, log *logging.Log) *reloader {
	return &reloader{
		name:    name,
		asked:   asked,
		log:     log,
		content: content,
	}
}

// run reloads until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.asked:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload applies the file if it has changed. What was asked for is logged also
// if nothing has changed.
func (r *reloader) reload(asked bool) {
	content, err := os.ReadFile(r.name)
	if err != nil {
		r.reject(nil, err, asked)
		return
	}
	if bytes.Equal(content, r.content) {
		r.rejected = nil
		if asked {
			r.log.Info().Msg("settings: reloaded, unchanged")
		}
		return
	}
	parsed, err := settings.ParseRelay(r.name, content)
	if err != nil {
		r.reject(content, err, asked)
		return
	}
	level, err := zerolog.ParseLevel(parsed.Level)
	if err != nil {
		r.reject(content, err, asked)
		return
	}
	changed, err := settings.Differences(r.content, content)
	if err != nil {
		r.reject(content, err, asked)
		return
	}
	r.log.Set(level, parsed.Lines)
	r.content = content
	r.rejected = nil
	var later []string
	for _, key := range changed {
		if !strings.HasPrefix(key, "[log] ") {
			later = append(later, key)
		}
	}
	r.log.Info().Strs("changed", changed).Strs("restart", later).Msg("settings: reloaded")
}

// reject logs a file that cannot be used, once for each content.
func (r *reloader) reject(content []byte, err error, asked bool) {
	if !asked && r.rejected != nil && bytes.Equal(content, r.rejected) {
		return
	}
	r.rejected = append([]byte{}, content...)
	r.log.Error().Err(err).Msg("settings: not usable, the last ones stay in force")
}
