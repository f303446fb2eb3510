export type { EntrySettings, EntrySettingsInput } from './schema';
export { entrySettingsSchema } from './schema';
export { loadSettings, validateSettings } from './load';
