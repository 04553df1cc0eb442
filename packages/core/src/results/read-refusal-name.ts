/**
 * For tests: which refusal a call throws.
 */
import { toRequestError } from './request-error.js';

/** Runs a call and returns the name of the result that it throws, or `none`. */
export function readRefusalName(run: () => unknown): string {
  try {
    run();
    return 'none';
  } catch (error) {
    return toRequestError(error).result.name;
  }
}
