//! The demo of the README shows what it says.

use bluebellstage_standin::demo;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn demo_passes_all_its_steps() {
    let mut out = Vec::new();
    let done = demo::run(&mut out).await;
    let said = String::from_utf8(out).expect("text");
    done.unwrap_or_else(|err| panic!("{err:?}, after:\n{said}"));
    insta::assert_snapshot!(said, @r"
     1. Three instances, two engines, a court service, a weight store and the platform run in this process
     2. An operator wrote a workspace, a key, an adapter and a service through one instance: catalogue revision 1 is in force on all three
     3. A caller asked `/v1/entry` which instance to use, connected, and a draft streamed from gerplan-clause@1: sekone pudepu tiveka degeka bamifi…
     4. The adapter was loaded into a slot of one engine for it, through the weight store
     5. A case file was read from the court service
     6. A filing with an `Idempotency-Key` ran once; its repeat, sent to another instance, got the first answer
     7. instance-3 was stopped as planned while it streamed: all 120 tokens arrived, then it ended
     8. Callers went on at the other two
     9. The key was withdrawn through one instance: both refuse it as `key_refused`, with `ran: no`
    10. No request that reached a target, the weight store or the platform held the key
    11. Done: every step gave what it says
    ");
}
