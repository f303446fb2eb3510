/**
 * Checks of what a peer says about records. A value without a field that is read
 * later would end the process, or keep it from following the store.
 */
import { isSocketAddress } from '@cardamomladder/types';
import type { RecordChange, RecordList, StoreRecord } from './records';

type Fields = Record<string, unknown>;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null;
const isRevision = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;
const isAddress = (value: unknown): boolean => typeof value === 'string' && isSocketAddress(value);
const areStrings = (fields: Fields, names: readonly string[]): boolean =>
  names.every((name) => typeof fields[name] === 'string');
const areNumbers = (fields: Fields, names: readonly string[]): boolean =>
  names.every((name) => Number.isFinite(fields[name]));

/** For each kind of value, whether the fields that are read later are there. */
const VALUE_CHECKS: Record<string, (fact: Fields) => boolean> = {
  configuration: ({ configuration }) =>
    isObject(configuration) && Number.isSafeInteger(configuration.version),
  target: ({ target }) =>
    isObject(target) &&
    isAddress(target.address) &&
    areStrings(target, ['id', 'service', 'failureDomain']) &&
    areNumbers(target, ['slots', 'coldForMs', 'writes']),
  evacuation: (fact) => areStrings(fact, ['failureDomain']),
  instance: ({ instance }) =>
    isObject(instance) &&
    isAddress(instance.callerAddress) &&
    isAddress(instance.peerAddress) &&
    areStrings(instance, ['id', 'failureDomain', 'region']) &&
    isObject(instance.capacity) &&
    areNumbers(instance.capacity, ['cores', 'linkMbps']),
  'crash-report': ({ report }) =>
    isObject(report) && Array.isArray(report.crashes) && Array.isArray(report.answered),
  member: (fact) => areStrings(fact, ['id']),
  invalid: (fact) => areStrings(fact, ['problem']),
};

const isRecord = (value: unknown): value is StoreRecord => {
  if (!isObject(value) || typeof value.key !== 'string' || !isRevision(value.revision))
    return false;
  const { fact } = value;
  if (!isObject(fact) || typeof fact.kind !== 'string') return false;
  // Kinds of later versions are kept.
  return !Object.hasOwn(VALUE_CHECKS, fact.kind) || VALUE_CHECKS[fact.kind](fact);
};

const areRecords = (value: unknown): boolean => Array.isArray(value) && value.every(isRecord);

/** True for a store position. */
export const isReadablePosition = (value: unknown): boolean =>
  isObject(value) && isRevision(value.epoch) && isRevision(value.revision);

/** True for a list of records. */
export const isReadableList = (value: unknown): value is RecordList =>
  isObject(value) &&
  isReadablePosition(value) &&
  areRecords(value.records) &&
  areRecords(value.missing ?? []) &&
  areRecords(value.doubted ?? []);

const isChange = (value: unknown): value is RecordChange =>
  isObject(value) && value.removed === true
    ? typeof value.key === 'string' && isRevision(value.revision)
    : isRecord(value);

/** True for an array of changes. */
export const areReadableChanges = (value: unknown): value is RecordChange[] =>
  Array.isArray(value) && value.every(isChange);
