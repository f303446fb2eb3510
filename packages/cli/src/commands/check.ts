/** `cardamomladder check FILE`: validates an instance's settings file. */
import { loadInstanceSettings } from '@cardamomladder/settings';

/** Runs the command; returns exit code 0 if the file is valid, otherwise 2. */
export const checkCommand = async (file: string): Promise<number> => {
  const settings = await loadInstanceSettings(file);
  if (settings.isErr()) {
    console.error(settings.error.message);
    return 2;
  }
  const { instance } = settings.value;
  console.log(`${file}: valid; instance ${instance.id} in ${instance.failureDomain}`);
  return 0;
};
