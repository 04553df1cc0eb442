/**
 * A source of records has answered that it refuses a call, as one that is overloaded or rejects this VM
 * does. Calls that end without an answer fail with other errors.
 */
export class SourceRefusedError extends Error {
  override readonly name = 'SourceRefusedError';
}
