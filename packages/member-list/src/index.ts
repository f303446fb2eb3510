export type { Member, MembersReply, MemberState } from './protocol';
export type { MemberClient } from './client/memberClient';
export { createMemberClient } from './client/memberClient';
export type { MemberListStandin } from './server/standin';
export { createMemberListStandin } from './server/standin';
