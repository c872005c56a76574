"""Timeouts and protocol constants of the platform's clients."""

TABLE_TIMEOUT_S = 1.0
OBJECT_TIMEOUT_S = 5.0
TARGET_PREFIX = 'DynamoDB_20120810.'
CONTENT_TYPE = 'application/x-amz-json-1.0'
CONDITION_FAILED = 'ConditionalCheckFailedException'
THROTTLED = 'ProvisionedThroughputExceededException'
ATTR_PARTITION = 'pk'
ATTR_SORT = 'sk'
ATTR_BODY = 'body'
ATTR_VERSION = 'version'
PARTITION_JOURNAL = 'journal'
PARTITION_DECIDER = 'decider'
PARTITION_SNAPSHOT = 'snapshot'
