import { expect } from 'chai';

import { computeRequestFingerprint } from './request-fingerprint.js';
import type { FingerprintedRequest } from './request-fingerprint.js';

const REQUEST: FingerprintedRequest = {
  method: 'POST',
  target: '/orders?page=1',
  headers: ['Host', 'shop.example', 'Authorization', 'Bearer a', 'User-Agent', 'sdk/1'],
  bodyDigest: 'digest',
};

describe('the fingerprint of a request', () => {
  const original = computeRequestFingerprint(REQUEST);

  it('is the same whatever does not belong to the request itself', () => {
    const headers = ['host', 'shop.example', 'X-Trace', '7', 'authorization', 'Bearer a'];
    expect(computeRequestFingerprint({ ...REQUEST, headers })).to.equal(original);
  });

  it('differs by method, host, query, client account and body', () => {
    const others: readonly Partial<FingerprintedRequest>[] = [
      { method: 'PUT' },
      { target: '/orders?page=2' },
      { headers: ['Host', 'shop.example', 'Authorization', 'Bearer b'] },
      { headers: ['Host', 'other.example', 'Authorization', 'Bearer a'] },
      { bodyDigest: 'other' },
    ];
    const digests = others.map((change) => computeRequestFingerprint({ ...REQUEST, ...change }));
    expect(new Set([original, ...digests]).size).to.equal(others.length + 1);
  });

  it('does not mix up where one part ends and the next begins', () => {
    const left = computeRequestFingerprint({ ...REQUEST, method: 'GET', target: '/a","b' });
    const right = computeRequestFingerprint({ ...REQUEST, method: 'GET","/a', target: 'b' });
    expect(left).not.to.equal(right);
  });
});
