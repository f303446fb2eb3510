export type { EntrySettings, EntrySettingsInput } from './entrySettingsSchema';
export { entrySettingsSchema } from './entrySettingsSchema';
export { loadEntrySettings, validateEntrySettings } from './entrySettings';
export type { InstanceSettings, Scope } from './instanceSettings';
export {
  instanceSettingsSchema,
  loadInstanceSettings,
  parseInstanceSettings,
} from './instanceSettings';
export { forContention } from './contention';
export { parseJsonText } from './jsonText';
