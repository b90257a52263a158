export {checkSettingsFiles, type FilesCheck} from './check_settings_files.js';
export {createProgram, runCommandLine} from './command_line.js';
