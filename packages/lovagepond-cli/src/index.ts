export {checkSettingsFiles, type FilesCheck} from './check_settings_files.js';
export {runDefinition} from './command_role.js';
export {createProgram, runCommandLine} from './command_line.js';
export {createControlMember, type MadeControlMember} from './role_control.js';
export {type RoleDefinition, type RoleParts} from './role_definition.js';
export {makeGatewayDefinition} from './role_gateway.js';
export {CONTROL_SCHEMA} from './settings_control.js';
