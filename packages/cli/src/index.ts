export { commandLine } from './commandLine';
export { runCommandLine } from './runCommandLine';
