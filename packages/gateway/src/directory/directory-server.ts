/**
 * HTTP servers for the directory, where callers ask which daemons to connect to, and for readiness
 * checks.
 */
import type { Server } from 'node:http';

import type { DirectoryResponse, DirectoryDialect, DirectoryQuery } from '../dialect/index.js';
import { createJsonServer } from '../http/index.js';

export type DirectoryServerDependencies = {
  readonly dialect: DirectoryDialect;
  /** Answers a directory query; `caller` is the remote IP address. */
  readonly answer: (question: DirectoryQuery, caller: string) => DirectoryResponse;
};

export type ReadinessServerDependencies = {
  readonly dialect: DirectoryDialect;
  readonly isReady: () => boolean;
};

const OK_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Creates the directory server; it answers 503 while there is no endpoint to return. */
export function createDirectoryServer({ dialect, answer }: DirectoryServerDependencies): Server {
  return createJsonServer({
    [dialect.directoryPath]: (query, caller) => {
      const found = answer(dialect.readDirectoryQuery(query), caller);
      const status = found.endpoints.length > 0 ? OK_STATUS : NOT_READY_STATUS;
      return { status, body: dialect.buildDirectoryResponse(found) };
    },
  });
}

/** Creates the server for readiness checks; it answers 503 until the daemon is ready. */
export function createReadinessServer({ dialect, isReady }: ReadinessServerDependencies): Server {
  return createJsonServer({
    [dialect.readinessPath]: () => {
      const ready = isReady();
      return { status: ready ? OK_STATUS : NOT_READY_STATUS, body: { ready } };
    },
  });
}
