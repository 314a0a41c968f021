package dynamo

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	smithy "github.com/aws/smithy-go"
)

// errNoItem is the error for a missing row. It has the error code that the object store returns for a missing object, so
// that both map to store.ErrNotFound.
var errNoItem = &smithy.GenericAPIError{Code: codeNoSuchKey, Message: "the row doesn't exist"}

// GetObject implements store.Objects.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := s.call(ctx, opGetObject, func(ctx context.Context) error {
		out, err := s.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(s.bucket), Key: aws.String(key)})
		if err != nil {
			return err
		}
		defer out.Body.Close()
		body, err = io.ReadAll(out.Body)
		return err
	})
	return body, err
}

// CreateObject implements store.Objects.
func (s *Store) CreateObject(ctx context.Context, key string, body []byte) error {
	return s.call(ctx, opCreateObject, func(ctx context.Context) error {
		_, err := s.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket:      aws.String(s.bucket),
			Key:         aws.String(key),
			Body:        bytes.NewReader(body),
			IfNoneMatch: aws.String("*"),
		})
		return err
	})
}
