/**
 * Test helper that reads which refusal a call throws.
 */
import { toRequestError } from './request-error.js';

/** Runs a function and returns the result name of the refusal that it throws, or `none`. */
export function readRefusalName(run: () => unknown): string {
  try {
    run();
    return 'none';
  } catch (error) {
    return toRequestError(error).result.name;
  }
}
