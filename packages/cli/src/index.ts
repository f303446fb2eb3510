export { createCommandLine } from './commandLine';
export { runCommandLine } from './runCommandLine';
