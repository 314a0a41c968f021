package dynamo

import (
	"context"
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/bronzelever/bronzelever/pkg/store"
)

// Names of the row attributes. The partition key of the table is attributeKey, of type string.
const (
	attributeKey      = "key"
	attributeValue    = "value"
	attributeRevision = "revision"
	attributeToken    = "token"
)

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, key string) (store.Row, error) {
	var row store.Row
	err := s.call(ctx, opGet, func(ctx context.Context) error {
		out, err := s.rows.GetItem(ctx, &dynamodb.GetItemInput{
			TableName:      aws.String(s.table),
			ConsistentRead: aws.Bool(true),
			Key:            map[string]types.AttributeValue{attributeKey: &types.AttributeValueMemberS{Value: key}},
		})
		if err != nil {
			return err
		}
		if out.Item == nil {
			return errNoItem
		}
		row, err = decodeRow(key, out.Item)
		return err
	})
	return row, err
}

// Put implements store.Table.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	if value == nil {
		// The SDK omits the attribute if the slice is nil, and decodeRow rejects a row without it.
		value = []byte{}
	}
	revision := expected + 1
	input := &dynamodb.PutItemInput{
		TableName: aws.String(s.table),
		Item: map[string]types.AttributeValue{
			attributeKey:      &types.AttributeValueMemberS{Value: key},
			attributeValue:    &types.AttributeValueMemberB{Value: value},
			attributeRevision: numberAttribute(revision),
			attributeToken:    &types.AttributeValueMemberS{Value: token},
		},
	}
	setCondition(input, expected)
	err := s.call(ctx, opPut, func(ctx context.Context) error {
		_, err := s.rows.PutItem(ctx, input)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// setCondition makes the write conditional on the row's revision. It uses placeholders for attribute names, because some
// of them are reserved words of the expression language.
func setCondition(input *dynamodb.PutItemInput, expected store.Revision) {
	if expected == 0 {
		input.ConditionExpression = aws.String("attribute_not_exists(#key)")
		input.ExpressionAttributeNames = map[string]string{"#key": attributeKey}
		return
	}
	input.ConditionExpression = aws.String("#revision = :expected")
	input.ExpressionAttributeNames = map[string]string{"#revision": attributeRevision}
	input.ExpressionAttributeValues = map[string]types.AttributeValue{":expected": numberAttribute(expected)}
}

func numberAttribute(r store.Revision) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(r), 10)}
}

func decodeRow(key string, item map[string]types.AttributeValue) (store.Row, error) {
	value, hasValue := item[attributeValue].(*types.AttributeValueMemberB)
	revision, hasRevision := item[attributeRevision].(*types.AttributeValueMemberN)
	token, hasToken := item[attributeToken].(*types.AttributeValueMemberS)
	if !hasValue || !hasRevision || !hasToken {
		return store.Row{}, fmt.Errorf("row %q has a missing or mistyped attribute", key)
	}
	n, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return store.Row{}, fmt.Errorf("row %q has an invalid revision: %w", key, err)
	}
	return store.Row{Key: key, Value: value.Value, Revision: store.Revision(n), Token: token.Value}, nil
}
