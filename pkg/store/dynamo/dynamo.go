// Package dynamo implements store.Store with the platform's table service (DynamoDB API) and object store (S3 API).
//
// A call is one attempt: the package never repeats a write by itself, because a repeated write whose first attempt took
// effect would report a conflict with itself. Package store resolves such writes.
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
	// CallTimeout bounds a call if the caller's context doesn't end earlier. It is the interval at which a term is renewed,
	// so that a stuck call delays at most one renewal.
	CallTimeout = time.Second
	// dialTimeout bounds the establishment of a connection, so that an unreachable service shows before CallTimeout: only
	// then is it known that a write had no effect.
	dialTimeout = 500 * time.Millisecond
	// idleConnections per service; the control loop makes few calls at once.
	idleConnections = 4
	idleTimeout     = 90 * time.Second
)

// Store is a client of both services.
type Store struct {
	table   string
	bucket  string
	rows    *dynamodb.Client
	objects *s3.Client
	scope   tally.Scope
	http    *http.Client
}

var _ store.Store = (*Store)(nil)

// New returns a client. The credentials are read from the environment variables that the settings name.
func New(s settings.Store, scope tally.Scope) (*Store, error) {
	accessKey, secretKey := os.Getenv(s.AccessKeyEnv), os.Getenv(s.SecretKeyEnv)
	if accessKey == "" {
		return nil, trace.BadParameter("environment variable %q (store.access_key_env) is empty", s.AccessKeyEnv)
	}
	if secretKey == "" {
		return nil, trace.BadParameter("environment variable %q (store.secret_key_env) is empty", s.SecretKeyEnv)
	}
	client := newHTTPClient()
	identity := credentials.NewStaticCredentialsProvider(accessKey, secretKey, "")
	return &Store{
		table:  s.Table,
		bucket: s.Bucket,
		rows: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(s.TableEndpoint),
			Region:       s.Region,
			Credentials:  identity,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(s.ObjectEndpoint),
			Region:       s.Region,
			Credentials:  identity,
			HTTPClient:   client,
			Retryer:      aws.NopRetryer{},
			UsePathStyle: true,
			// The signature covers the body's hash; a further checksum is sent only where the service demands it.
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
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			TLSHandshakeTimeout: dialTimeout,
		},
	}
}

// operation names a call in the metrics.
type operation string

const (
	opGet          operation = "get"
	opPut          operation = "put"
	opGetObject    operation = "get_object"
	opCreateObject operation = "create_object"
)

// call runs one attempt with a time-out, maps its error and counts it.
func (s *Store) call(ctx context.Context, op operation, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	ctx, sent := watchSending(ctx)
	err := mapError(op, attempt(ctx), sent)
	s.scope.Tagged(map[string]string{"operation": string(op), "result": resultOf(err)}).Counter("operations").Inc(1)
	return err
}
