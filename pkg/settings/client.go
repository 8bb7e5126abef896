package settings

import (
	"flag"
	"time"

	"github.com/cockroachdb/errors"
)

// Client holds the settings of commands that call the administration service.
type Client struct {
	Admin      string // base URL
	CA         string // PEM file; empty: the system's authorities
	Timeout    time.Duration
	Credential Secret
	credential credential
}

// Register declares the flags.
func (c *Client) Register(fs *flag.FlagSet) {
	fs.StringVar(&c.Admin, "admin", "http://127.0.0.1:8082", "URL of the administration service of any instance")
	fs.StringVar(&c.CA, "admin-ca", "", "PEM authorities that may sign the certificate of the administration service; default: the system's")
	fs.DurationVar(&c.Timeout, "timeout", 30*time.Second, "time of one command")
	c.credential.register(fs, "admin-credential", "the credential of the administration service")
}

// Validate checks all settings, loads the credential and returns everything
// that is wrong.
func (c *Client) Validate() (wrong Errors) {
	add := func(err error) {
		if err != nil {
			wrong = append(wrong, err)
		}
	}
	add(endpoint("admin", c.Admin))
	var err error
	c.Credential, err = c.credential.load()
	add(err)
	if err == nil && c.Credential == "" {
		add(errors.Newf("no credential: set %s or -admin-credential-file", EnvName("admin-credential")))
	}
	if c.Timeout < time.Second {
		add(errors.New("-timeout: must be at least 1s"))
	}
	if c.CA != "" {
		if _, err := readFile(c.CA); err != nil {
			add(errors.Newf("-admin-ca (%s): %v", EnvName("admin-ca"), err))
		}
	}
	return wrong
}
