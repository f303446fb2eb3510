export type { Applied } from './apply';
export { DOCUMENT_KEY, applyDocument, readDocument, withShifts } from './apply';
