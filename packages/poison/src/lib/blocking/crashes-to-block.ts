/**
The number of successive crashes that blocks a request or a part. One endpoint may crash by chance under any request, and when many
endpoints crash at once, two may.
*/
export const crashesToBlock = 3;
