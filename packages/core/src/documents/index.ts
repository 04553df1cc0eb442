export { DOCUMENT_NAMES, DocumentStore } from './document-store.js';
export type {
  DocumentName,
  DocumentVersion,
  OfferResult,
  PublishedDocument,
} from './document-store.js';
export { chooseReaders, drawFallbackDelayMs } from './choose-readers.js';
export {
  CorruptDocumentError,
  buildManifest,
  joinParts,
  MAX_VALUE_BYTES,
  parseManifest,
  splitDocument,
} from './document-parts.js';
export type { DocumentPart, PartReference } from './document-parts.js';
