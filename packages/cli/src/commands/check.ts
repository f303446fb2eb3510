/** `cardamomladder check FILE`: validates an instance's settings before they are used. */
import { loadInstanceSettings } from '@cardamomladder/settings';

/** Runs the command; 0 when the file is good, 2 when not. */
export const checkCommand = async (file: string): Promise<number> => {
  const settings = await loadInstanceSettings(file);
  if (settings.isErr()) {
    console.error(settings.error.message);
    return 2;
  }
  const { instance } = settings.value;
  console.log(`${file}: good; instance ${instance.id} in ${instance.failureDomain}`);
  return 0;
};
