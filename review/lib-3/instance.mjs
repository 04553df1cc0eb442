/**
 * Stand-in for a sound instance of a service. It keeps what it has run.
 */
import { createServer } from 'node:http';

export class Instance {
  runs = [];

  #server = createServer((request, response) => this.#handle(request, response));

  constructor({ id, service, zone, workMs = 20 }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.workMs = workMs;
    this.born = Date.now();
    this.#server.keepAliveTimeout = 10_000;
  }

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.#server.address().port;
    this.address = `127.0.0.1:${this.port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(request, response) {
    const requestId = request.headers['x-request-id'];
    const target = request.headers['x-target-instance'];
    request.resume();
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end();
      return;
    }
    request.once('end', () => {
      this.runs.push({ requestId, at: performance.now(), tenant: request.headers['x-tenant-id'] });
      const body = `${this.id} ran ${requestId}`;
      setTimeout(() => {
        response.writeHead(200, {
          'X-Request-Id': requestId,
          'X-Response-Signature': `sig.${requestId}`,
          'Content-Length': body.length,
        });
        response.end(body);
      }, this.workMs);
    });
  }
}
