export type { EntrySettings, EntrySettingsInput } from './schema';
export { entrySettingsSchema } from './schema';
export { loadSettings, validateSettings } from './load';
export type { InstanceSettings } from './instanceSettings';
export {
  instanceSettingsSchema,
  loadInstanceSettings,
  parseInstanceSettings,
} from './instanceSettings';
export { parseJsonText } from './jsonText';
