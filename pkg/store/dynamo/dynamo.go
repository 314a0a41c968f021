// Package dynamo implements store.Store with the platform's table service (DynamoDB API) and object store (S3 API).
//
// Each call is a single attempt. The package never retries a write, because a retry would report a conflict if the first
// attempt took effect. Package store determines the outcome of such writes.
package dynamo

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
)

const (
	// CallTimeout is the timeout of a call whose context has no earlier deadline. It equals the interval at which a term is
	// renewed, so that a hanging call delays at most one renewal.
	CallTimeout = time.Second
	// dialTimeout limits the time to establish a connection. It is shorter than CallTimeout, so that an unreachable service
	// is detected before the call times out: only then is it known that a write had no effect.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerService is the number of idle connections kept per service. The control loop makes few calls at once.
	maxIdleConnsPerService = 4
	idleTimeout            = 90 * time.Second
)

// Store is a client of the table service and the object store.
type Store struct {
	table   string
	bucket  string
	rows    *dynamodb.Client
	objects *s3.Client
	scope   tally.Scope
	http    *http.Client
}

var _ store.Store = (*Store)(nil)

// New returns a client. It reads the credentials from the environment variables named in the settings.
func New(s settings.Store, scope tally.Scope) (*Store, error) {
	accessKey, secretKey := os.Getenv(s.AccessKeyEnv), os.Getenv(s.SecretKeyEnv)
	if accessKey == "" {
		return nil, trace.BadParameter("environment variable %q (store.access_key_env) is empty", s.AccessKeyEnv)
	}
	if secretKey == "" {
		return nil, trace.BadParameter("environment variable %q (store.secret_key_env) is empty", s.SecretKeyEnv)
	}
	client := newHTTPClient()
	provider := credentials.NewStaticCredentialsProvider(accessKey, secretKey, "")
	return &Store{
		table:  s.Table,
		bucket: s.Bucket,
		rows: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(s.TableEndpoint),
			Region:       s.Region,
			Credentials:  provider,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(s.ObjectEndpoint),
			Region:       s.Region,
			Credentials:  provider,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			UsePathStyle: true,
			// The request signature covers the hash of the body, so a checksum is sent only where the service requires it.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		scope: scope.SubScope("store"),
		http:  client,
	}, nil
}

// Close closes idle connections.
func (s *Store) Close() {
	s.http.CloseIdleConnections()
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerService,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
		},
	}
}

// operation is the name of a call in metrics and error messages.
type operation string

const (
	opGet          operation = "get"
	opPut          operation = "put"
	opGetObject    operation = "get_object"
	opCreateObject operation = "create_object"
)

// call runs one attempt with a timeout, maps its error to one of package store and counts the call by its result.
func (s *Store) call(ctx context.Context, op operation, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	ctx, connected := traceConnection(ctx)
	err := mapError(op, attempt(ctx), connected)
	s.scope.Tagged(map[string]string{"operation": string(op), "result": resultLabel(err)}).Counter("operations").Inc(1)
	return err
}
