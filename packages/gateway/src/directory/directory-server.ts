/**
 * HTTP servers for the directory, where callers ask which daemons to connect to, and for readiness
 * checks.
 */
import type { Server } from 'node:http';

import type { DirectoryResponse, DirectoryDialect, DirectoryQuery } from '../dialect/index.js';
import type { ExceptionHandler } from '../exceptions/index.js';
import { createJsonServer } from '../http/index.js';
import type { JsonHandler } from '../http/index.js';

export type DirectoryServerDependencies = {
  readonly dialect: DirectoryDialect;
  /** Answers a directory query; `caller` is the remote IP address. */
  readonly answer: (question: DirectoryQuery, caller: string) => DirectoryResponse;
  readonly onException: ExceptionHandler;
};

export type ReadinessServerDependencies = {
  readonly dialect: DirectoryDialect;
  readonly isReady: () => boolean;
  readonly onException: ExceptionHandler;
};

const OK_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Creates the directory server; it answers 503 while there is no endpoint to return. */
export function createDirectoryServer({
  dialect,
  answer,
  onException,
}: DirectoryServerDependencies): Server {
  const handlers: Readonly<Record<string, JsonHandler>> = {
    [dialect.directoryPath]: (query, caller) => {
      const found = answer(dialect.readDirectoryQuery(query), caller);
      const status = found.endpoints.length > 0 ? OK_STATUS : NOT_READY_STATUS;
      return { status, body: dialect.buildDirectoryResponse(found) };
    },
  };
  return createJsonServer(handlers, onException);
}

/** Creates the server for readiness checks; it answers 503 until the daemon is ready. */
export function createReadinessServer({
  dialect,
  isReady,
  onException,
}: ReadinessServerDependencies): Server {
  const handlers: Readonly<Record<string, JsonHandler>> = {
    [dialect.readinessPath]: () => {
      const ready = isReady();
      return { status: ready ? OK_STATUS : NOT_READY_STATUS, body: { ready } };
    },
  };
  return createJsonServer(handlers, onException);
}
