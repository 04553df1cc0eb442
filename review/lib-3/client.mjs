/**
 * Stand-in for a client: one attempt on a channel of its own, and what came of it.
 */
import { request } from 'node:http';

/**
 * Makes one attempt. Resolves with the status and the body, or with the error if the channel failed
 * or no answer came in time.
 */
export async function sendAttempt({
  address,
  port,
  host,
  path,
  id,
  method = 'GET',
  key,
  timeLimitMs = 1000,
  body,
}) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (result) =>
      resolve({ id, sentAt, tookMs: performance.now() - sentAt, ...result });
    const outgoing = request({
      host: address,
      port,
      path,
      method,
      agent: false,
      headers: {
        Host: host,
        'X-Request-Id': id,
        'X-Deadline-Ms': String(timeLimitMs),
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('time limit')), timeLimitMs);
    outgoing.once('error', (error) => finish({ error: error.message }));
    outgoing.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('error', (error) => finish({ error: error.message }));
      response.once('end', () => {
        clearTimeout(timer);
        finish({ status: response.statusCode, body: Buffer.concat(chunks).toString() });
      });
    });
    outgoing.once('close', () => clearTimeout(timer));
    outgoing.end(body);
  });
}
