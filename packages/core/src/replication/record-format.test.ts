/**
 * Guards against versions that decode records in another way and state the same format: each would take
 * what the other has left out for what the store holds.
 */
import { expect } from 'chai';
import * as z from 'zod';

import { computeDigest } from '../runtime/index.js';
import { RECORD_FORMAT, recordSchema } from './index.js';

/** The digest of the schema of records for each format; a format that was released never changes. */
const SCHEMA_DIGESTS: Readonly<Record<number, string>> = { 1: 'd0999bf8080cdc2f' };

describe('the record format', () => {
  it('rises with each change of what is decoded', () => {
    const schema = z.toJSONSchema(recordSchema, { io: 'input', unrepresentable: 'any' });
    const digest = computeDigest(JSON.stringify(schema));
    expect(digest, 'raise RECORD_FORMAT and add the digest of the new schema').to.equal(
      SCHEMA_DIGESTS[RECORD_FORMAT],
    );
  });
});
