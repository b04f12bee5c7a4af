package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// defaultAdminURL is the default URL of the administration API.
	defaultAdminURL = "http://127.0.0.1:8081"
	// adminEnvPrefix is the prefix of the environment variables that set the flags
	// of operator commands, such as VALVESLIP_ADMIN_URL and VALVESLIP_ADMIN_TOKEN.
	adminEnvPrefix = "VALVESLIP_ADMIN"
	// adminTimeout is the timeout of one API request. Event streams have none.
	adminTimeout = 30 * time.Second
)

// operatorOptions are the options that operator commands share: the URL of the
// node, the access token and the output format.
type operatorOptions struct {
	out       io.Writer
	url       string
	token     string
	tokenFile string
	caFile    string
	json      bool
}

// operatorFlags returns a flag set with the flags that operator commands share,
// and the options that the flags set.
func operatorFlags(name string, out io.Writer) (*flag.FlagSet, *operatorOptions) {
	flags := flag.NewFlagSet("valveslip "+name, flag.ContinueOnError)
	o := &operatorOptions{out: out}
	flags.StringVar(&o.url, "url", defaultAdminURL, "URL of a node's administration API")
	flags.StringVar(&o.token, "token", "", "access token; better set by "+adminEnvPrefix+"_TOKEN or --token-file, as others may see arguments")
	flags.StringVar(&o.tokenFile, "token-file", "", "file that holds the access token")
	flags.StringVar(&o.caFile, "ca-file", "", "PEM certificates of the authorities to trust; the system's when empty")
	flags.BoolVar(&o.json, "json", false, "print JSON for programs")
	return flags, o
}

// operatorCommand returns an operator command that passes the arguments after the
// flags to run. Their number must be between minArguments and maxArguments. Errors
// of the API get the exit code of their cause.
func operatorCommand(usage, help string, flags *flag.FlagSet, minArguments, maxArguments int, run func(ctx context.Context, arguments []string) error) *ffcli.Command {
	nameParts := strings.Fields(flags.Name())
	return &ffcli.Command{
		Name: nameParts[len(nameParts)-1], ShortUsage: flags.Name() + " " + usage, ShortHelp: help, FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(adminEnvPrefix)},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) < minArguments || len(arguments) > maxArguments {
				return &exitError{code: exitUsage, err: fmt.Errorf("usage: %s %s", flags.Name(), usage)}
			}
			return withExitCode(run(ctx, arguments))
		},
	}
}

// newClient returns a client of the administration API. A timeout of zero means
// none.
func (o *operatorOptions) newClient(timeout time.Duration) (*admin.Client, error) {
	token := o.token
	if o.tokenFile != "" {
		data, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the token")
		}
		token = strings.TrimSpace(string(data))
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.caFile != "" {
		data, err := os.ReadFile(o.caFile)
		if err != nil {
			return nil, eris.Wrap(err, "read the authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, eris.Errorf("%s holds no PEM certificate", o.caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return &admin.Client{URL: o.url, Token: token, HTTP: &http.Client{Transport: transport, Timeout: timeout}}, nil
}

// printValue prints a value as JSON if --json was given; otherwise it calls text.
func (o *operatorOptions) printValue(value any, text func(io.Writer) error) error {
	if !o.json {
		return text(o.out)
	}
	encoder := json.NewEncoder(o.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// withExitCode wraps an error of the API in an exitError with the code of its cause.
// It returns other errors unchanged.
func withExitCode(err error) error {
	var requestErr *admin.RequestError
	if !errors.As(err, &requestErr) {
		return err
	}
	code := exitFailure
	switch {
	case requestErr.OutcomePath != "" || requestErr.Code == verdict.CodeOutcomeUnknown:
		code = exitOutcomeUnknown
		err = eris.Errorf("%s\nthe edit may have taken effect; repeat the command, or read %s", requestErr.Error(), requestErr.OutcomePath)
	case requestErr.Status == http.StatusUnauthorized || requestErr.Status == http.StatusForbidden:
		code = exitDenied
	case requestErr.Status == http.StatusConflict:
		code = exitConflict
	case requestErr.Status == http.StatusBadRequest || requestErr.Status == http.StatusUnprocessableEntity || requestErr.Status == http.StatusRequestEntityTooLarge:
		code = exitInvalid
	case requestErr.Status == http.StatusNotFound:
		code = exitNotFound
	case requestErr.Status == 0 || requestErr.Status == http.StatusServiceUnavailable:
		code = exitUnavailable
	}
	return &exitError{code: code, err: err}
}
